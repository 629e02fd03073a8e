package linearize

import (
	"testing"

	"lemonarch/internal/platform/errs"
)

// lotOperation is one operation of a history that is written down by hand.
type lotOperation struct {
	begun, ended int64
	call         LotCall
	reply        LotReply
}

func checkLots(list []lotOperation) error {
	history := History{}
	for client, one := range list {
		history.Begin(client, one.call, LotReply{}, one.begun).End(one.reply, one.ended)
	}
	return history.Check(LotsModel(), checkLimit)
}

func TestLotsModel(t *testing.T) {
	handIn, end := LotCall{Kind: LotHandIn, Lot: "x"}, LotCall{Kind: LotEnd, Lot: "x"}
	read := func(from int) LotCall { return LotCall{Kind: LotRead, Lot: "x", From: from} }
	told := func(results ...string) LotReply { return LotReply{Outcome: LotDone, Results: results} }
	refused, missing := LotReply{Outcome: LotRefused}, LotReply{Outcome: LotMissing}
	for name, one := range map[string]struct {
		legal bool
		list  []lotOperation
	}{
		"taken, read, ended":           {true, []lotOperation{{0, 1, handIn, told()}, {2, 3, read(0), told("a", "b")}, {4, 5, read(1), told("b", "c")}, {6, 7, end, told()}, {8, 9, read(3), told()}}},
		"an unclear one may come late": {true, []lotOperation{{0, 1, handIn, LotReply{}}, {2, 3, read(0), missing}, {4, 5, handIn, refused}, {6, 7, read(0), told("a")}}},
		"one read skips a part":        {true, []lotOperation{{0, 1, handIn, told()}, {2, 3, read(2), told("c")}, {4, 5, read(0), told("a", "b", "c")}}},
		"a taken lot is missing":       {false, []lotOperation{{0, 1, handIn, told()}, {2, 3, read(0), missing}}},
		"a taken lot is refused":       {false, []lotOperation{{0, 1, handIn, told()}, {2, 3, handIn, refused}}},
		"a refused lot runs":           {false, []lotOperation{{0, 1, handIn, refused}, {2, 3, read(0), told("a")}}},
		"a result changes":             {false, []lotOperation{{0, 1, handIn, told()}, {2, 3, read(0), told("a", "b")}, {4, 5, read(1), told("c")}}},
		"a listed result is gone":      {false, []lotOperation{{0, 1, handIn, told()}, {2, 3, read(0), told("a", "b")}, {4, 5, read(1), told()}}},
		"two readers at once disagree": {false, []lotOperation{{0, 1, handIn, told()}, {2, 5, read(0), told("a")}, {3, 4, read(0), told("b")}}},
	} {
		err := checkLots(one.list)
		if one.legal && err != nil || !one.legal && !errs.Is(err, ErrNotLinearizable) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
