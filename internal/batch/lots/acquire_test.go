package lots

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// prefixed hands in a lot whose items have a shared prefix.
func (endpoint *endpoint) prefixed(id, prefix string, items int) {
	body := &messages.LotBody{Path: "/p/"}
	for place := 0; place < items; place++ {
		body.Items = append(body.Items, messages.LotItem{ID: fmt.Sprint(id, place), Headers: map[string]string{"Lemonarch-Prompt-Prefix": prefix + ":9,own:1"}})
	}
	packed, _ := body.MarshalMsg(nil)
	endpoint.Submit(messages.Record{Kind: messages.RecordLot, Lot: id, Body: packed, AtMs: int64(len(endpoint.records))})
	endpoint.settle()
}

func names(given []*Acquisition) string {
	text := ""
	for _, one := range given {
		text += one.Item.ID + " "
	}
	return text
}

// A driver gets the prefix that it has read before first, but nothing is passed over
// for long: the driver that read the other prefix may have no room.
func TestPrefixesGoTogether(test *testing.T) {
	endpoint := newEndpoint(test, 1, nil, 0)
	endpoint.prefixed("a", "one", 6)
	endpoint.prefixed("b", "two", 6)
	if given := names(endpoint.take("x", 1, ms(1))); given != "a0 " {
		test.Fatal(given)
	}
	// The older lot is due first, and nobody has its rest's place yet.
	if given := names(endpoint.take("y", 6, ms(2))); given != "a1 a2 a3 a4 a5 b0 " {
		test.Fatal(given)
	}
	endpoint.prefixed("c", "one", 2)
	endpoint.prefixed("d", "two", 2)
	if given := names(endpoint.take("x", 2, ms(3))); given != "c0 c1 " {
		test.Fatal("not the own prefix first: ", given)
	}
	late := ms(3).Plus(constants.HomePatience)
	endpoint.prefixed("e", "one", 2)
	if given := names(endpoint.take("x", 2, late)); given != "b1 b2 " {
		test.Fatal("passed over for too long: ", given)
	}
}

// What can still be in time goes before what is late, by the due time.
func TestInTimeGoesFirst(test *testing.T) {
	endpoint := newEndpoint(test, 1, nil, 0)
	endpoint.lot("a", "a")
	endpoint.lot("b", "b")
	endpoint.lot("c", "c")
	order := map[string]Terms{"a": {Due: 1, Late: true}, "b": {Due: 9}, "c": {Due: 5}, "d": {Over: true}}
	endpoint.lot("d", "d")
	endpoint.Enter(Driver{Name: "x"})
	endpoint.settle()
	given := endpoint.Acquire(&AcquireAsk{Driver: Driver{Name: "x"}, Room: map[string]int{"s": 9},
		Terms: func(lot *Lot) Terms { return order[lot.ID] }, Service: func(*Item) string { return "s" }}, ms(1))
	if names(given) != "c b a " {
		test.Fatal(names(given))
	}
}
