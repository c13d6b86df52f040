package emulator

import (
	"embed"
	"io/fs"
	"strings"

	"github.com/rotisserie/eris"
)

//go:embed patterns/*.hujson
var patternFiles embed.FS

// PatternNames returns the names of the patterns that are embedded in the program.
func PatternNames() ([]string, error) {
	files, err := fs.Glob(patternFiles, "patterns/*.hujson")
	if err != nil {
		return nil, eris.Wrap(err, "patterns")
	}
	for i, f := range files {
		files[i] = strings.TrimSuffix(strings.TrimPrefix(f, "patterns/"), ".hujson")
	}
	return files, nil
}

// BuiltIn returns the embedded pattern with the given name.
func BuiltIn(name string) (*Pattern, error) {
	return ReadPattern(patternFiles, "patterns/"+name+".hujson")
}
