package revision

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	filesTitle  = "oleandervane files 1\n"
	maxFileName = 255
)

// File identifies a file of the operators' folder. It is immutable.
type File struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

func encodeFiles(files []File) []Chunk {
	sorted := slices.SortedFunc(slices.Values(files), func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	lines := make([]line, len(sorted))
	for index, file := range sorted {
		lines[index] = line{file.Name, []byte(file.Digest.String() + " " + file.Name + "\n")}
	}
	return textChunks(filesTitle, lines, fileChunker)
}

func decodeFiles(content []byte) ([]File, error) {
	rest, found := bytes.CutPrefix(content, []byte(filesTitle))
	if !found || !bytes.HasSuffix(content, []byte("\n")) {
		return nil, eris.New("the chunk does not contain a list of files")
	}
	var files []File
	for text := range bytes.Lines(rest) {
		digest, name, found := bytes.Cut(bytes.TrimSuffix(text, []byte("\n")), []byte(" "))
		file := File{Name: string(name)}
		if err := file.Digest.UnmarshalText(digest); err != nil || !found || len(name) == 0 || len(name) > maxFileName {
			return nil, eris.Errorf("the line %.100q is not a digest and a file name", text)
		}
		if len(files) > 0 && files[len(files)-1].Name >= file.Name {
			return nil, eris.Errorf("file %q is out of order", file.Name)
		}
		files = append(files, file)
	}
	return files, nil
}

func fileMap(files []File) map[string]Digest {
	byName := make(map[string]Digest, len(files))
	for _, file := range files {
		byName[file.Name] = file.Digest
	}
	return byName
}
