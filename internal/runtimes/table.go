package runtimes

import (
	"cmp"
	"math/bits"
	"slices"
)

// maxGroups bounds the number of histograms of a table. keptGroups is the number that is
// left when one more would exceed it, so that a stream of new queues is not paid for with
// a search for each.
const (
	maxGroups  = 1024
	keptGroups = maxGroups * 3 / 4
)

// Table holds the histograms of finished runs. The zero value is an empty table. After
// decoding one, call Rebuild.
type Table struct {
	Groups []Group `cbor:"1,keyasint,omitempty"`
	// Records is the number of runs that were recorded.
	Records uint64 `cbor:"2,keyasint,omitempty"`

	index map[key]int
}

// kind is what a group is about.
type kind uint8

const (
	// kindRunTime groups hold the run times of a queue, in milliseconds.
	kindRunTime kind = iota + 1
	// The other groups hold ratios of actual to declared run times: of a queue, of a class
	// of declared times in it, and of a size of tasks in that class.
	kindRatio
	kindClass
	kindSize
)

// key identifies a group. Class is the half octave of the declared time, and Size the
// power of four of the requested processor time.
type key struct {
	Queue string `cbor:"1,keyasint"`
	Kind  kind   `cbor:"2,keyasint"`
	Class uint8  `cbor:"3,keyasint,omitempty"`
	Size  uint8  `cbor:"4,keyasint,omitempty"`
}

// Group is the histogram of the runs with one key.
type Group struct {
	Key key `cbor:"1,keyasint"`
	// UsedAt is the value of Table.Records at the latest run.
	UsedAt    uint64    `cbor:"2,keyasint"`
	Histogram histogram `cbor:"3,keyasint"`

	summary summary
}

func queueKey(t Task, k kind) key { return key{Queue: t.Queue, Kind: k} }

func classKey(t Task) key {
	return key{Queue: t.Queue, Kind: kindClass, Class: halfOctave(t.DeclaredMS)}
}

func sizeKey(t Task) key {
	return key{Queue: t.Queue, Kind: kindSize, Class: halfOctave(t.DeclaredMS), Size: uint8(bits.Len64(uint64(max(t.CPUMilli, 0))) / 2)}
}

// halfOctave returns the number of the half octave of a declared time.
func halfOctave(ms int64) uint8 {
	ms = min(max(ms, 1), maxRunTimeMS)
	exponent := bits.Len64(uint64(ms)) - 1
	class := 2 * exponent
	// 181/128 is the square root of 2.
	if ms*128 >= 181<<exponent {
		class++
	}
	return uint8(class)
}

// Empty reports whether the table holds no run.
func (t *Table) Empty() bool { return t.Records == 0 }

func (t *Table) group(k key) *Group {
	if i, ok := t.index[k]; ok {
		return &t.Groups[i]
	}
	return nil
}

func (t *Table) record(k key, value int64) {
	g := t.group(k)
	if g == nil {
		g = t.addGroup(k)
	}
	g.UsedAt = t.Records
	g.Histogram.add(value)
	g.summary = g.Histogram.summarize()
}

func (t *Table) addGroup(k key) *Group {
	if len(t.Groups) >= maxGroups {
		t.evict()
	}
	if t.index == nil {
		t.index = map[key]int{}
	}
	t.index[k] = len(t.Groups)
	t.Groups = append(t.Groups, Group{Key: k})
	return &t.Groups[len(t.Groups)-1]
}

// evict drops the groups that were not used for longest.
func (t *Table) evict() {
	slices.SortStableFunc(t.Groups, func(a, b Group) int { return cmp.Compare(b.UsedAt, a.UsedAt) })
	clear(t.Groups[keptGroups:])
	t.Groups = t.Groups[:keptGroups]
	t.rebuildIndex()
}

func (t *Table) rebuildIndex() {
	t.index = make(map[key]int, len(t.Groups))
	for i := range t.Groups {
		t.index[t.Groups[i].Key] = i
	}
}

// Rebuild computes what a decoded or cloned table derives from its groups.
func (t *Table) Rebuild() {
	t.rebuildIndex()
	for i := range t.Groups {
		t.Groups[i].summary = t.Groups[i].Histogram.summarize()
	}
}

// RenameQueues replaces the queue of each group by what rename returns for it. Call Rebuild afterwards.
func (t *Table) RenameQueues(rename func(queue string) string) {
	for i := range t.Groups {
		t.Groups[i].Key.Queue = rename(t.Groups[i].Key.Queue)
	}
}

// Clone returns a copy for a snapshot. Call Rebuild before using it as a table.
func (t *Table) Clone() *Table {
	if t == nil {
		return nil
	}
	return &Table{Groups: slices.Clone(t.Groups), Records: t.Records}
}

func (g *Group) runs() int64 { return g.Histogram.runs() }

// estimate returns the estimate from the group for a declared time. For run times, the
// time to pass is ratioOne.
func (g *Group) estimate(declaredMS int64) Estimate {
	s := g.summary
	return Estimate{MedianMS: s.median * declaredMS / ratioOne, MeanMS: s.mean * declaredMS / ratioOne, P90MS: s.p90 * declaredMS / ratioOne}
}

// narrowerThan reports whether the values of g spread less than those of o.
func (g *Group) narrowerThan(o *Group) bool {
	return g.summary.p90*o.summary.p10 < o.summary.p90*g.summary.p10
}
