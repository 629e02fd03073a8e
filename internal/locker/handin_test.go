package locker

import (
	"fmt"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/boot"
	"lemonarch/internal/jointer"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
)

const quotaConfig = `{"generation":1,"channels":[{"name":"b","host":"h","path-prefix":"/b/","route-kind":"bulk","backend":"s","tries":2,"retain-s":60,"result-setpoint-ms":9000,"backlog-cap":100}],"backends":[{"name":"s"}],"limits":{}}`

// soleLocker is a locker that holds the lots alone, on a fake disk.
func soleLocker(test *testing.T, disk *model.Disk) *Locker {
	store, failure := OpenStore(disk, "disk")
	if failure != nil {
		test.Fatal(failure)
	}
	settings := &boot.Boot{NodeName: "m", Address: "10.0.0.1", InternalPorts: []int{1, 9}, HeartbeatMs: 1200}
	stand := trestle.New(settings, "locker", 2, store.Disk(), hclog.NewNullLogger())
	stand.Wire = tongs.NewRoom().Transport("m")
	locker := &Locker{Stand: stand, Jointer: jointer.New(stand), Store: store, begun: watch.Now()}
	locker.driver = newDriver(locker)
	stand.Take([]byte(quotaConfig))
	locker.hold.Renewed(watch.Now().Plus(watch.Milliseconds(600_000)))
	return locker
}

// rule begins a reign of the sole locker and waits until it serves.
func rule(test *testing.T, locker *Locker, epoch uint64) *reign {
	one := newReign(locker, pattern.Duty{Holder: "m", Life: locker.Stand.Own.Life, Epoch: epoch}, []pattern.Member{locker.member()}, 1)
	locker.reign = one
	one.takeOver()
	if !one.waitServing(watch.Milliseconds(5000)) {
		test.Fatal("does not serve")
	}
	test.Cleanup(func() { one.end("test is over") })
	return one
}

func lotCallOf(id string, items int) *pattern.LotCall {
	body := `{"requests":[`
	for place := 0; place < items; place++ {
		if place > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"id":"%s-%d","path":"/b/x","headers":{},"body":"aGk=","tokens":15}`, id, place)
	}
	return &pattern.LotCall{Method: "POST", Host: "h", Path: "/b/", Lot: id, Body: []byte(body + "]}")}
}

// Calls of many nodes race for the last room: the quota is never passed, and a lot
// that comes over several nodes at once is one lot.
func TestQuotaUnderRaces(test *testing.T) {
	one := rule(test, soleLocker(test, model.NewDisk(1)), 1)
	var group sync.WaitGroup
	var lock sync.Mutex
	statuses := map[int]int{}
	for number := 0; number < 24; number++ {
		group.Add(1)
		go func() {
			defer group.Done()
			// Each lot of 30 tokens is sent twice; three of them fit into 100.
			answer := one.handIn(lotCallOf(fmt.Sprint("lot", number/2), 2))
			lock.Lock()
			defer lock.Unlock()
			statuses[answer.Status]++
		}()
	}
	group.Wait()
	if statuses[202] < 3 || statuses[202] > 6 || statuses[202]+statuses[429] != 24 || len(one.book.Lots()) != 3 {
		test.Fatal(statuses, len(one.book.Lots()))
	}
	// Resent to whoever holds the lots later, a taken lot is still taken.
	taken := one.book.Lots()[0].ID
	one.end("another takes over")
	next := rule(test, one.locker, 2)
	if answer := next.handIn(lotCallOf(taken, 2)); answer.Status != 202 || len(next.book.Lots()) != 3 {
		test.Fatal(answer.Status, len(next.book.Lots()))
	}
}

// A lot is ended while its duty changes hands: once the end was told, no later
// holder runs any of it, and what was listed stays.
func TestCancelDuringHandOver(test *testing.T) {
	disk := model.NewDisk(2)
	one := rule(test, soleLocker(test, disk), 1)
	if answer := one.handIn(lotCallOf("lot", 3)); answer.Status != 202 {
		test.Fatal(answer.Status)
	}
	question := &pattern.Acquire{Driver: "d", Life: 1, Room: []pattern.ServiceRoom{{Service: "s", Count: 2}}}
	given := one.acquire(question).Items
	if len(given) != 2 {
		test.Fatal("acquired ", len(given))
	}
	accept := func(place int, text string) pattern.AckVerdict {
		entry := pattern.Acknowledgement{Kind: pattern.AckAccept, Number: given[place].Number, Lot: "lot", Item: given[place].Item.ID, Text: []byte(text)}
		return one.acknowledge(&pattern.Acknowledge{Driver: "d", Life: 1, Entries: []pattern.Acknowledgement{entry}}).Verdicts[0]
	}
	item := given[0].Item
	// Told again it is answered the same, and counts once.
	if accept(0, "text") != pattern.AckTaken || accept(0, "text") != pattern.AckTaken {
		test.Fatal("output not taken")
	}
	if answer := one.endLot(&pattern.LotCall{Lot: "lot"}); answer.Status != 200 {
		test.Fatal(answer.Status)
	}
	// A run that was under way brings nothing any more.
	if accept(1, "late") != pattern.AckTerminal || len(one.acquire(question).Items) != 0 {
		test.Fatal("an ended lot goes on")
	}
	one.end("another takes over")
	disk.PowerLoss()
	next := rule(test, soleLocker(test, disk), 2)
	lot := next.book.Lot("lot")
	if lot == nil || !lot.Ended || lot.Open() || len(lot.Listings) != 1 || lot.Listings[0].Item != item.ID {
		test.Fatalf("%+v", lot)
	}
	for _, each := range lot.Items {
		if !each.Terminal() && each.Begin() != 0 {
			test.Fatal("an item of an ended lot would run: ", each.ID)
		}
	}
	if answer := next.endLot(&pattern.LotCall{Lot: "lot"}); answer.Status != 200 {
		test.Fatal("a repeated end: ", answer.Status)
	}
	text := string(next.readLot(&pattern.LotCall{Lot: "lot"}).Body)
	if want := fmt.Sprintf(`{"sum":3,"next-token":1,"outputs":[{"id":"%s","phase":"settled","text":"text"}]}`, item.ID); text != want {
		test.Fatal(text)
	}
}

// What is malformed, too large or unknown is told so.
func TestBadLots(test *testing.T) {
	one := rule(test, soleLocker(test, model.NewDisk(3)), 1)
	smuggled := lotCallOf("x", 1)
	smuggled.Body = []byte(`{"requests":[{"id":"i","path":"/b/x","headers":{"A":"b\r\nX: y"},"body":"aGk=","tokens":1}]}`)
	for status, call := range map[int][]*pattern.LotCall{
		400: {{Lot: "x", Host: "h", Path: "/b/", Body: []byte("{")}, lotCallOf("x", 0), smuggled},
		413: {lotCallOf("x", 201)},
		429: {lotCallOf("x", 7)},
	} {
		for _, each := range call {
			if answer := one.handIn(each); answer.Status != status {
				test.Error(status, answer.Status, string(answer.Body))
			}
		}
	}
	if one.readLot(&pattern.LotCall{Lot: "x"}).Status != 404 || one.itemBody(&pattern.LotCall{Lot: "x"}).Status != 404 || one.endLot(&pattern.LotCall{Lot: "x"}).Status != 404 {
		test.Error("an unknown lot was known")
	}
}
