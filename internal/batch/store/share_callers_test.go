package store

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/linearize"
)

// callers record what clients of lots see: each call from its sending to its answer.
type callers struct {
	history linearize.History
	count   int
}

// handedIn records a hand-in; told notes the 202.
func (cluster *shareCluster) handedIn(id string) (told func()) {
	cluster.callers.count++
	operation := cluster.callers.history.Begin(cluster.callers.count, linearize.LotCall{Kind: linearize.LotHandIn, Lot: id},
		linearize.LotReply{}, int64(cluster.world.Now))
	return func() { operation.End(linearize.LotReply{Outcome: linearize.LotDone}, int64(cluster.world.Now)) }
}

// answered records a call that has its answer.
func (cluster *shareCluster) answered(call linearize.LotCall, reply linearize.LotReply, begun clock.Moment) {
	cluster.callers.count++
	operation := cluster.callers.history.Begin(cluster.callers.count, call, linearize.LotReply{}, int64(begun))
	operation.End(reply, int64(cluster.world.Now))
}

// read sends reads again and again; a call takes its time there and back.
func (cluster *shareCluster) read() {
	random := cluster.callRandom
	defer cluster.world.After(clock.Milliseconds(40+160*random.Float64()), cluster.read)
	if cluster.number == 0 {
		return
	}
	call := linearize.LotCall{Kind: linearize.LotRead, Lot: fmt.Sprint("job", 1+random.Intn(cluster.number)), From: random.Intn(2)}
	begun, back := cluster.world.Now, clock.Milliseconds(40*random.Float64())
	cluster.world.After(clock.Milliseconds(40*random.Float64()), func() {
		holder := cluster.holder
		if cluster.serving(holder) == nil {
			return
		}
		reply := cluster.page(holder, call)
		cluster.world.After(back, func() { cluster.answered(call, reply, begun) })
	})
}

// page is what a holder that serves says of a lot.
func (cluster *shareCluster) page(holder *simHolder, call linearize.LotCall) linearize.LotReply {
	lot := holder.book.Lot(call.Lot)
	if lot == nil {
		return linearize.LotReply{Outcome: linearize.LotMissing}
	}
	reply := linearize.LotReply{Outcome: linearize.LotDone}
	for _, listing := range lot.Listings[min(call.From, len(lot.Listings)):] {
		reply.Results = append(reply.Results, fmt.Sprint(listing.Item, " ", listing.Dropped, " ", cluster.textOf(holder, listing)))
	}
	return reply
}

// textOf is an output's text, from the holder's memory or its disk.
func (cluster *shareCluster) textOf(holder *simHolder, listing lots.Listing) string {
	if place := listing.Index - holder.first; place >= 0 && place < int64(len(holder.records)) {
		return string(holder.records[place].Body)
	}
	record, err := cluster.stores[holder.at].store.Read(listing.Index)
	if err != nil {
		cluster.test.Fatal(err)
	}
	return string(record.Body)
}

// checkCalls tells whether one order of all calls explains what clients saw.
func (cluster *shareCluster) checkCalls(seed int64) {
	if err := cluster.callers.history.Check(linearize.LotsModel(), time.Minute); err != nil {
		cluster.test.Fatalf("seed %d: %v", seed, err)
	}
}

// judge compares the last holder's book with all that was seen outside.
func (cluster *shareCluster) judge(seed int64) {
	var ids []string
	for _, lot := range cluster.holder.book.Lots() {
		ids = append(ids, lot.ID)
	}
	sort.Strings(ids)
	for _, id := range ids {
		lot := cluster.holder.book.Lot(id)
		listed := map[string]int{}
		for _, listing := range lot.Listings {
			listed[listing.Item]++
			record, err := cluster.stores[cluster.holder.at].store.Read(listing.Index)
			if err != nil {
				cluster.test.Fatal(err)
			}
			want := ""
			for event := 1; event <= shareEvents; event++ {
				want += fmt.Sprintf("%s.%d\n", listing.Item, event)
			}
			switch {
			case listed[listing.Item] > 1:
				cluster.test.Fatalf("seed %d: %s has two positions", seed, listing.Item)
			case listing.Dropped && !cluster.rejected[listing.Item] && cluster.failures[listing.Item] < shareTries &&
				cluster.world.Now.Since(cluster.sentAt[id]) < clock.Milliseconds(shareRetain):
				cluster.test.Fatalf("seed %d: %s was given up after %d failures", seed, listing.Item, cluster.failures[listing.Item])
			case !listing.Dropped && string(record.Body) != want:
				cluster.test.Fatalf("seed %d: %s has the text %q", seed, listing.Item, strings.ReplaceAll(string(record.Body), "\n", " "))
			case listing.Dropped && cluster.accepted[listing.Item] != "" && cluster.accepted[listing.Item] != "rejected":
				cluster.test.Fatalf("seed %d: %s was acknowledged and then given up", seed, listing.Item)
			}
		}
		for _, item := range lot.Items {
			if listed[item.ID] == 0 && (cluster.accepted[item.ID] != "" || !lot.Ended) {
				cluster.test.Fatalf("seed %d: %s is not listed; state %d, acknowledged %q, lapses %d", seed, item.ID, item.State, cluster.accepted[item.ID], item.Lapses)
			}
		}
	}
	for id := range cluster.endAcked {
		if lot := cluster.holder.book.Lot(id); lot == nil || !lot.Ended {
			cluster.test.Fatalf("seed %d: the end of %s is lost", seed, id)
		}
	}
}
