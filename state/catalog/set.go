package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/document"
)

// setEntry is an object of a set with its key and its path in the document.
type setEntry struct {
	key  Key
	path string
	spec any
}

func newEntries[T any](kind Kind, field string, items []T, name func(*T) string) []setEntry {
	entries := make([]setEntry, 0, len(items))
	for i := range items {
		entries = append(entries, setEntry{
			key:  Key{Kind: kind, Name: name(&items[i])},
			path: fmt.Sprintf("%s[%d]", field, i),
			spec: &items[i],
		})
	}
	return entries
}

func (s *Set) entries() []setEntry {
	return slices.Concat(
		newEntries(KindModel, "models", s.Models, func(m *Model) string { return m.Name }),
		newEntries(KindAdapter, "adapters", s.Adapters, func(a *Adapter) string { return a.Name }),
		newEntries(KindVersion, "versions", s.Versions, func(v *Version) string { return v.Name }),
		newEntries(KindPlacement, "placements", s.Placements, func(p *Placement) string { return p.Name }),
		newEntries(KindRoute, "routes", s.Routes, func(r *Route) string { return r.Name }),
		newEntries(KindService, "services", s.Services, func(v *Service) string { return v.Name }),
		newEntries(KindRunner, "runners", s.Runners, func(r *Runner) string { return r.Name }),
		newEntries(KindWorkspace, "workspaces", s.Workspaces, func(w *Workspace) string { return w.Name }),
		newEntries(KindDeployment, "deployment", s.Deployment, func(d *Deployment) string { return d.Name }),
	)
}

// Objects encodes the set's objects, sorts them by key and gives all of them the same revision.
func (s *Set) Objects(revision uint64) ([]Object, error) {
	entries := s.entries()
	objects := make([]Object, 0, len(entries))
	for _, e := range entries {
		spec, err := json.Marshal(e.spec)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", e.key)
		}
		objects = append(objects, Object{Key: e.key, Revision: revision, Spec: spec})
	}
	SortObjects(objects)
	return objects, nil
}

// SortObjects sorts objects in place by kind and name.
func SortObjects(objects []Object) {
	slices.SortFunc(objects, func(a, b Object) int {
		if order := strings.Compare(string(a.Kind), string(b.Kind)); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// NewSet decodes published objects into a set.
func NewSet(objects []Object) (*Set, error) {
	set := &Set{}
	for _, object := range objects {
		if err := set.add(object); err != nil {
			return nil, errors.Wrapf(err, "decode %s", object.Key)
		}
	}
	return set, nil
}

func (s *Set) add(object Object) error {
	switch object.Kind {
	case KindModel:
		return appendSpec(&s.Models, object.Spec)
	case KindAdapter:
		return appendSpec(&s.Adapters, object.Spec)
	case KindVersion:
		return appendSpec(&s.Versions, object.Spec)
	case KindPlacement:
		return appendSpec(&s.Placements, object.Spec)
	case KindRoute:
		return appendSpec(&s.Routes, object.Spec)
	case KindService:
		return appendSpec(&s.Services, object.Spec)
	case KindRunner:
		return appendSpec(&s.Runners, object.Spec)
	case KindWorkspace:
		return appendSpec(&s.Workspaces, object.Spec)
	case KindDeployment:
		return appendSpec(&s.Deployment, object.Spec)
	default:
		return errors.Errorf("unknown kind %q", object.Kind)
	}
}

func appendSpec[T any](items *[]T, spec json.RawMessage) error {
	var item T
	if err := json.Unmarshal(spec, &item); err != nil {
		return err
	}
	*items = append(*items, item)
	return nil
}

// Parse reads a set from JSON with comments. The locator finds the position of each object in the file.
func Parse(file string, data []byte) (*Set, *Locator, document.Findings) {
	set := &Set{}
	positions, findings := document.Decode(file, data, set)
	locator := NewLocator()
	for _, e := range set.entries() {
		locator.add(e, positions)
	}
	return set, locator, findings
}

// Locator finds the position of an object's field in its source file.
type Locator struct {
	sources map[Key][]objectSource
}

type objectSource struct {
	path      string
	positions *document.Positions
}

// NewLocator returns a locator without any objects.
func NewLocator() *Locator {
	return &Locator{sources: make(map[Key][]objectSource)}
}

func (l *Locator) add(e setEntry, positions *document.Positions) {
	l.sources[e.key] = append(l.sources[e.key], objectSource{path: e.path, positions: positions})
}

// Position returns the position of an object's field. It is empty for an object that comes from no file.
func (l *Locator) Position(key Key, field string) document.Position {
	return l.nthPosition(key, 0, field)
}

// nthPosition returns the position of a field of the nth object with a key, since a set may repeat a key.
func (l *Locator) nthPosition(key Key, nth int, field string) document.Position {
	if nth >= len(l.sources[key]) {
		return document.Position{}
	}
	found := l.sources[key][nth]
	if field == "" {
		return found.positions.At(found.path)
	}
	return found.positions.At(found.path + "." + field)
}

// Append adds the objects of another set after those of the same kind.
func (s *Set) Append(other *Set) {
	s.Deployment = append(s.Deployment, other.Deployment...)
	s.Models = append(s.Models, other.Models...)
	s.Versions = append(s.Versions, other.Versions...)
	s.Adapters = append(s.Adapters, other.Adapters...)
	s.Placements = append(s.Placements, other.Placements...)
	s.Routes = append(s.Routes, other.Routes...)
	s.Services = append(s.Services, other.Services...)
	s.Runners = append(s.Runners, other.Runners...)
	s.Workspaces = append(s.Workspaces, other.Workspaces...)
}

// Merge adds the positions of another locator's objects after those of the same key.
func (l *Locator) Merge(other *Locator) {
	for key, found := range other.sources {
		l.sources[key] = append(l.sources[key], found...)
	}
}
