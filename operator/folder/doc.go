// Package folder reads the operators' folder of TOML files into a configuration.
//
// Files are read in the byte order of their names. A later file adds to an earlier one key by key; a key that has
// another value in an earlier file is refused unless the later file names that file in its overrides. All findings are
// reported together, each with file, line, key, reason and how to mend it.
package folder
