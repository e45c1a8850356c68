// Package declare loads declarations of a fleet, validates them and computes
// the change that leads from a configuration to the declared one.
//
// Declarations are a folder of JSON files. Each file holds one object or an
// array of objects {kind, name, ...}. Keys are not declared: they are issued
// and withdrawn by separate calls.
package declare

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// maxFileBytes bounds a declaration file; a larger one is rejected unread.
const maxFileBytes = 8 << 20

// ErrNoDeclarations is returned for a folder without JSON files.
var ErrNoDeclarations = errors.New("declare: no JSON files")

// Error is one fault in the declarations.
type Error struct {
	File string
	// Line is 1 for the first line; 0 when the fault has no line.
	Line   int
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return place + ": " + e.Reason
	}
	return fmt.Sprintf("%s: field %q: %s", place, e.Field, e.Reason)
}

// Errors lists all faults in order of file and line.
type Errors []*Error

// Error implements error, with one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads the JSON files directly in the folder at path, or the one file at
// path. All faults are reported together as Errors; the configuration has
// revision 0 and no keys.
func Load(path string) (fleet.Config, error) {
	files, err := listFiles(path)
	if err != nil {
		return fleet.Config{}, err
	}
	if len(files) == 0 {
		return fleet.Config{}, errors.Wrap(ErrNoDeclarations, path)
	}
	l := newLoader()
	for _, file := range files {
		l.readFile(file)
	}
	return l.finish()
}

// Fleets returns the folders under path that each declare a fleet: path itself
// when it is a file or holds JSON files, else its sub-folders that do.
func Fleets(path string) ([]string, error) {
	files, err := listFiles(path)
	if err != nil {
		return nil, err
	}
	if len(files) > 0 {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Wrap(err, "declare")
	}
	var folders []string
	for _, e := range entries {
		sub := filepath.Join(path, e.Name())
		if found, err := filepath.Glob(filepath.Join(sub, "*.json")); e.IsDir() && err == nil && len(found) > 0 {
			folders = append(folders, sub)
		}
	}
	if len(folders) == 0 {
		return nil, errors.Wrap(ErrNoDeclarations, path)
	}
	return folders, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "declare")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Wrap(err, "declare")
	}
	var files []string
	for _, e := range entries {
		if !e.IsDir() && strings.HasSuffix(e.Name(), ".json") {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	return files, nil
}

// Decode reads one file's content strictly. It reports faults in the JSON
// structure, the fields and the values, but not in references.
func Decode(file string, data []byte) (fleet.Config, error) {
	l := newLoader()
	l.addFile(file, data)
	l.report()
	if len(l.faults) > 0 {
		return fleet.Config{}, l.faults
	}
	return l.config, nil
}

// loader collects entities and faults over all files.
type loader struct {
	config   fleet.Config
	entities []entity
	first    map[fleet.EntityRef]entity
	faults   Errors
}

func newLoader() *loader {
	return &loader{config: fleet.NewState().Config, first: map[fleet.EntityRef]entity{}}
}

func (l *loader) readFile(file string) {
	info, err := os.Stat(file)
	if err != nil {
		l.faults = append(l.faults, &Error{File: file, Reason: err.Error()})
		return
	}
	if info.Size() > maxFileBytes {
		l.faults = append(l.faults, &Error{File: file, Reason: fmt.Sprintf("larger than %d bytes", maxFileBytes)})
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		l.faults = append(l.faults, &Error{File: file, Reason: err.Error()})
		return
	}
	l.addFile(file, data)
}

func (l *loader) addFile(file string, data []byte) {
	objects, faults := parseFile(file, data)
	l.faults = append(l.faults, faults...)
	for _, o := range objects {
		l.addObject(o)
	}
}

func (l *loader) addObject(o object) {
	e, faults := decodeEntity(o)
	l.faults = append(l.faults, faults...)
	if e.ref.Name == "" {
		return
	}
	if before, ok := l.first[e.ref]; ok {
		l.faults = append(l.faults, duplicate(before, e))
		return
	}
	l.first[e.ref] = e
	l.entities = append(l.entities, e)
	if len(faults) == 0 {
		put(&l.config, e.item)
	}
}

// duplicate reports the second declaration of an entity. An instance declared
// for two pools is named as such, since it may belong to one pool only.
func duplicate(before, e entity) *Error {
	reason := fmt.Sprintf("%s %q is already declared at %s:%d", e.ref.Kind, e.ref.Name, before.object.file, before.object.line)
	field := "name"
	if a, b := before.item.PutInstance, e.item.PutInstance; a != nil && b != nil && a.Pool != b.Pool {
		field = "pool"
		reason += fmt.Sprintf("; an instance belongs to one pool, not to %q and %q", a.Pool, b.Pool)
	}
	return e.fault(field, reason)
}

// finish checks the references and returns the configuration or all faults.
func (l *loader) finish() (fleet.Config, error) {
	for _, e := range l.entities {
		l.checkReferences(e)
	}
	l.report()
	if len(l.faults) > 0 {
		return fleet.Config{}, l.faults
	}
	return l.config, nil
}

func (l *loader) checkReferences(e entity) {
	for _, r := range references(e.item) {
		if _, ok := l.first[r.to]; r.to.Name == "" || ok {
			continue
		}
		reason := fmt.Sprintf("%s %q is not declared", r.to.Kind, r.to.Name)
		l.faults = append(l.faults, e.fault(r.field, reason))
	}
}

// report orders the faults.
func (l *loader) report() {
	slices.SortStableFunc(l.faults, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
}
