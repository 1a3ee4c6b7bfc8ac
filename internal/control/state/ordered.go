package state

import "container/list"

// ordered is a map that preserves the order in which its keys were first inserted.
type ordered[V any] struct {
	byKey map[string]*list.Element
	order *list.List
}

// pair is one element of an ordered map.
type pair[V any] struct {
	key   string
	value V
}

func newOrdered[V any]() *ordered[V] {
	return &ordered[V]{byKey: map[string]*list.Element{}, order: list.New()}
}

func (o *ordered[V]) len() int { return len(o.byKey) }

func (o *ordered[V]) get(key string) (V, bool) {
	e, ok := o.byKey[key]
	if !ok {
		var zero V
		return zero, false
	}
	return e.Value.(pair[V]).value, true
}

// put sets a key's value. An existing key keeps its position.
func (o *ordered[V]) put(key string, value V) {
	if e, ok := o.byKey[key]; ok {
		e.Value = pair[V]{key, value}
		return
	}
	o.byKey[key] = o.order.PushBack(pair[V]{key, value})
}

func (o *ordered[V]) remove(key string) {
	if e, ok := o.byKey[key]; ok {
		o.order.Remove(e)
		delete(o.byKey, key)
	}
}

// oldest returns the key that was inserted first.
func (o *ordered[V]) oldest() (key string, value V, ok bool) {
	e := o.order.Front()
	if e == nil {
		return "", value, false
	}
	p := e.Value.(pair[V])
	return p.key, p.value, true
}

// trim removes the oldest keys until at most keep are left.
func (o *ordered[V]) trim(keep int) {
	for len(o.byKey) > keep {
		key, _, _ := o.oldest()
		o.remove(key)
	}
}

// values returns all values in insertion order.
func (o *ordered[V]) values() []V {
	out := make([]V, 0, len(o.byKey))
	for e := o.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(pair[V]).value)
	}
	return out
}
