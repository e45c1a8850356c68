// Package declare loads the declarations of a fleet, validates them and computes
// the change items that turn the current configuration into the declared one.
//
// Declarations are JSON files in one folder, or a single file. Each file contains
// one object {kind, name, ...} or an array of such objects. Keys are not declared;
// separate calls issue and withdraw them.
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

// maxFileBytes is the maximum size of a declaration file. A larger file is rejected
// without being read.
const maxFileBytes = 8 << 20

// ErrNoDeclarations is returned when a path contains no JSON files.
var ErrNoDeclarations = errors.New("declare: no JSON files")

// Error is one error in the declarations.
type Error struct {
	File string
	// Line counts from 1; it is 0 when the file was not read.
	Line int
	// Field is the name of the invalid field. It is empty when the error concerns
	// no single field.
	Field string
	// Reason says what is wrong.
	Reason string
}

// Error returns the file, the line, the field and the reason on one line.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return location + ": " + e.Reason
	}
	return fmt.Sprintf("%s: field %q: %s", location, e.Field, e.Reason)
}

// Errors contains all errors in the declarations, ordered by file, line and field.
type Errors []*Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the declarations at path: the .json files of a folder
// without its sub-folders, or a single file. The configuration that it returns has
// revision 0 and no keys.
//
// All errors in the declarations are returned together as Errors. A folder without
// .json files returns ErrNoDeclarations.
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
	return l.result()
}

// FleetPaths returns the paths that each declare one fleet, to be passed to Load. This
// is path itself when it is a file or a folder with .json files; otherwise it is each
// direct sub-folder with .json files. Without any it returns ErrNoDeclarations.
func FleetPaths(path string) ([]string, error) {
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

// Decode parses and validates data as the content of one declaration file; file is
// the name used in errors. Unknown, missing and duplicate fields are errors. Decode
// returns all errors together as Errors. It does not check whether referenced entities
// are declared.
func Decode(file string, data []byte) (fleet.Config, error) {
	l := newLoader()
	l.addFile(file, data)
	l.sortErrors()
	if len(l.errs) > 0 {
		return fleet.Config{}, l.errs
	}
	return l.config, nil
}

// loader collects the entities and the errors of all files.
type loader struct {
	// config contains the entities without errors.
	config   fleet.Config
	entities []entity
	// declared contains the first declaration of each entity.
	declared map[fleet.EntityRef]entity
	errs     Errors
}

func newLoader() *loader {
	return &loader{config: fleet.NewState().Config, declared: map[fleet.EntityRef]entity{}}
}

func (l *loader) readFile(file string) {
	info, err := os.Stat(file)
	if err != nil {
		l.errs = append(l.errs, &Error{File: file, Reason: err.Error()})
		return
	}
	if info.Size() > maxFileBytes {
		l.errs = append(l.errs, &Error{File: file, Reason: fmt.Sprintf("larger than %d bytes", maxFileBytes)})
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		l.errs = append(l.errs, &Error{File: file, Reason: err.Error()})
		return
	}
	l.addFile(file, data)
}

func (l *loader) addFile(file string, data []byte) {
	objects, errs := parseFile(file, data)
	l.errs = append(l.errs, errs...)
	for _, o := range objects {
		l.addObject(o)
	}
}

func (l *loader) addObject(o object) {
	e, errs := decodeEntity(o)
	l.errs = append(l.errs, errs...)
	if e.ref.Name == "" {
		return
	}
	if first, ok := l.declared[e.ref]; ok {
		l.errs = append(l.errs, duplicateError(first, e))
		return
	}
	l.declared[e.ref] = e
	l.entities = append(l.entities, e)
	if len(errs) == 0 {
		putEntity(&l.config, e.item)
	}
}

// duplicateError returns the error for the second declaration of an entity. For an
// instance that is declared in two pools the error names both pools, since an instance
// belongs to one pool only.
func duplicateError(first, e entity) *Error {
	reason := fmt.Sprintf("%s %q is already declared at %s:%d", e.ref.Kind, e.ref.Name, first.object.file, first.object.line)
	field := "name"
	if a, b := first.item.PutInstance, e.item.PutInstance; a != nil && b != nil && a.Pool != b.Pool {
		field = "pool"
		reason += fmt.Sprintf("; an instance belongs to one pool, not to %q and %q", a.Pool, b.Pool)
	}
	return e.errorAt(field, reason)
}

// result checks the references and returns the configuration, or all errors.
func (l *loader) result() (fleet.Config, error) {
	for _, e := range l.entities {
		l.checkReferences(e)
	}
	l.sortErrors()
	if len(l.errs) > 0 {
		return fleet.Config{}, l.errs
	}
	return l.config, nil
}

func (l *loader) checkReferences(e entity) {
	for _, r := range references(e.item) {
		if _, ok := l.declared[r.to]; r.to.Name == "" || ok {
			continue
		}
		reason := fmt.Sprintf("%s %q is not declared", r.to.Kind, r.to.Name)
		l.errs = append(l.errs, e.errorAt(r.field, reason))
	}
}

// sortErrors orders the errors by file, line and field.
func (l *loader) sortErrors() {
	slices.SortStableFunc(l.errs, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
}
