package state

import "container/list"

// orderedMap is a map that preserves the order in which its keys were first inserted.
type orderedMap[V any] struct {
	byKey map[string]*list.Element
	order *list.List
}

// mapEntry is one element of an ordered map.
type mapEntry[V any] struct {
	key   string
	value V
}

func newOrderedMap[V any]() *orderedMap[V] {
	return &orderedMap[V]{byKey: map[string]*list.Element{}, order: list.New()}
}

func (o *orderedMap[V]) len() int { return len(o.byKey) }

func (o *orderedMap[V]) get(key string) (V, bool) {
	e, ok := o.byKey[key]
	if !ok {
		var zero V
		return zero, false
	}
	return e.Value.(mapEntry[V]).value, true
}

// put sets a key's value. An existing key keeps its position.
func (o *orderedMap[V]) put(key string, value V) {
	if e, ok := o.byKey[key]; ok {
		e.Value = mapEntry[V]{key, value}
		return
	}
	o.byKey[key] = o.order.PushBack(mapEntry[V]{key, value})
}

func (o *orderedMap[V]) remove(key string) {
	if e, ok := o.byKey[key]; ok {
		o.order.Remove(e)
		delete(o.byKey, key)
	}
}

// oldest returns the key that was inserted first.
func (o *orderedMap[V]) oldest() (key string, value V, ok bool) {
	e := o.order.Front()
	if e == nil {
		return "", value, false
	}
	p := e.Value.(mapEntry[V])
	return p.key, p.value, true
}

// trim removes the oldest keys until at most keep are left.
func (o *orderedMap[V]) trim(keep int) {
	for len(o.byKey) > keep {
		key, _, _ := o.oldest()
		o.remove(key)
	}
}

// values returns all values in insertion order.
func (o *orderedMap[V]) values() []V {
	out := make([]V, 0, len(o.byKey))
	for e := o.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(mapEntry[V]).value)
	}
	return out
}
