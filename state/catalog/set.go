package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/document"
)

// entry joins an object of a set to its key and its path in the document.
type entry struct {
	key  Key
	path string
	spec any
}

func entriesOf[T any](kind Kind, field string, items []T, name func(*T) string) []entry {
	entries := make([]entry, 0, len(items))
	for i := range items {
		entries = append(entries, entry{
			key:  Key{Kind: kind, Name: name(&items[i])},
			path: fmt.Sprintf("%s[%d]", field, i),
			spec: &items[i],
		})
	}
	return entries
}

func (s *Set) entries() []entry {
	return slices.Concat(
		entriesOf(KindModel, "models", s.Models, func(m *Model) string { return m.Name }),
		entriesOf(KindAdapter, "adapters", s.Adapters, func(a *Adapter) string { return a.Name }),
		entriesOf(KindVersion, "versions", s.Versions, func(v *Version) string { return v.Name }),
		entriesOf(KindPlacement, "placements", s.Placements, func(p *Placement) string { return p.Name }),
		entriesOf(KindRoute, "routes", s.Routes, func(r *Route) string { return r.Name }),
		entriesOf(KindService, "services", s.Services, func(v *Service) string { return v.Name }),
		entriesOf(KindRunner, "runners", s.Runners, func(r *Runner) string { return r.Name }),
		entriesOf(KindDeployment, "deployment", s.Deployment, func(d *Deployment) string { return d.Name }),
	)
}

// Objects returns the set's objects sorted by key, all with the same revision.
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

// SortObjects orders objects by kind and name.
func SortObjects(objects []Object) {
	slices.SortFunc(objects, func(a, b Object) int {
		if order := strings.Compare(string(a.Kind), string(b.Kind)); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// NewSet builds a set from published objects.
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

// Parse reads a set from JSON with comments and returns the finder of its objects' places.
func Parse(file string, data []byte) (*Set, *Locator, document.Findings) {
	set := &Set{}
	places, findings := document.Decode(file, data, set)
	locator := NewLocator()
	for _, e := range set.entries() {
		locator.add(e, places)
	}
	return set, locator, findings
}

// Locator finds the place of an object's field in the file that holds it.
type Locator struct {
	files map[Key][]located
}

type located struct {
	path   string
	places *document.Positions
}

// NewLocator returns a locator that knows no object.
func NewLocator() *Locator {
	return &Locator{files: make(map[Key][]located)}
}

func (l *Locator) add(e entry, places *document.Positions) {
	l.files[e.key] = append(l.files[e.key], located{path: e.path, places: places})
}

// Place returns the place of an object's field, or an empty place for an object from no file.
func (l *Locator) Place(key Key, field string) document.Position { return l.placeOf(key, 0, field) }

// placeOf returns the place of a field of the nth object with a key.
func (l *Locator) placeOf(key Key, nth int, field string) document.Position {
	if nth >= len(l.files[key]) {
		return document.Position{}
	}
	found := l.files[key][nth]
	if field == "" {
		return found.places.At(found.path)
	}
	return found.places.At(found.path + "." + field)
}

// Append adds the objects of another set.
func (s *Set) Append(other *Set) {
	s.Deployment = append(s.Deployment, other.Deployment...)
	s.Models = append(s.Models, other.Models...)
	s.Versions = append(s.Versions, other.Versions...)
	s.Adapters = append(s.Adapters, other.Adapters...)
	s.Placements = append(s.Placements, other.Placements...)
	s.Routes = append(s.Routes, other.Routes...)
	s.Services = append(s.Services, other.Services...)
	s.Runners = append(s.Runners, other.Runners...)
}

// Join adds the places that another locator knows.
func (l *Locator) Join(other *Locator) {
	for key, found := range other.files {
		l.files[key] = append(l.files[key], found...)
	}
}
