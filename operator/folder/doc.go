// Package folder reads the operators' folder of TOML files into a configuration.
//
// Files are read in the byte order of their names and merged key by key. A key that has a different value in an earlier
// file is an error unless the later file lists that file in its overrides. All findings are reported together, each with
// file, line, key, reason and fix.
package folder
