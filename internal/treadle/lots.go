package treadle

import (
	"fmt"
	"math/rand"
	"strconv"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/anvil"
	"lemonarch/internal/errand"
	"lemonarch/internal/hopper"
	"lemonarch/internal/mishap"
	"lemonarch/internal/sawhorse"
	"lemonarch/internal/watch"
)

// lots sends lots at their rate and follows each.
func (one *run) lots(until errand.Errand, begun watch.Moment) {
	random := rand.New(rand.NewSource(one.options.Seed + almanac.LoadLotSeed))
	var group sync.WaitGroup
	at := 0.0
	for number := 0; ; number++ {
		at += random.ExpFloat64() / one.options.LotRate * 1000
		due := watch.Milliseconds(at)
		if number == 0 {
			// However short the load, there is one lot.
			due = min(due, one.options.For/4)
		}
		if due >= one.options.For || !waitUntil(until, begun.Plus(due)) {
			break
		}
		lot, check := one.makeLot(number, random)
		node := random.Intn(len(one.card.Ingress))
		group.Add(1)
		go func() {
			defer group.Done()
			one.lot(check, lot, node)
		}()
	}
	group.Wait()
}

func (one *run) makeLot(number int, random *rand.Rand) (hopper.Lot, *lotCheck) {
	check := newLotCheck(one.prefix + "lot" + strconv.Itoa(number))
	lot, route := hopper.Lot{}, one.routes["batch"]
	for place := 0; place < one.options.Items; place++ {
		prompt := profiles["batch"].prompt(random)
		item := hopper.Item{ID: check.id + "-" + strconv.Itoa(place), Path: fmt.Sprintf("%s%d/%d", route.Prefix, number, place),
			Tokens: prompt.in + prompt.out, Body: []byte("item " + strconv.Itoa(place)), Headers: map[string]string{"Lemonarch-Model": sawhorse.ModelName,
				"Lemonarch-Token-Count": fmt.Sprintf("%d,%d", prompt.in, prompt.out), "Lemonarch-Prompt-Prefix": prompt.parts}}
		check.events[item.ID] = anvil.Events(prompt.out, one.card.Stride)
		lot.Requests = append(lot.Requests, item)
		one.remember(item.ID, item.Path, item.Body, route, false, true)
	}
	return lot, check
}

// lot hands one lot in, follows it to its end, and reads it once more from the start.
func (one *run) lot(check *lotCheck, lot hopper.Lot, node int) {
	route := one.routes["batch"]
	edges := append(append([]string(nil), one.card.Ingress[node:]...), one.card.Ingress[:node]...)
	client := &hopper.Client{Edges: edges, Host: route.Host}
	limited, release := errand.Timed(errand.Background(), almanac.LoadDrain)
	defer release()
	begun := watch.Now()
	handing, halt := errand.Timed(limited, 2*almanac.LotCallTime)
	_, failure := client.HandIn(handing, check.id, route.Prefix+"lot", lot)
	halt()
	if failure != nil {
		refused := mishap.Of(failure, hopper.Refused)
		one.promiseItems(check, refused)
		cause := "lot unclear"
		if refused {
			cause = "lot refused"
		}
		one.result.failItems(len(lot.Requests), cause)
		return
	}
	one.result.handIn(watch.Now().Since(begun))
	result, reads := watch.Milliseconds(route.ResultMs), 0
	for len(check.listed) < len(lot.Requests) && limited.Err() == nil {
		reads++
		cursor := len(check.listed)
		if reads%4 == 0 {
			// From time to time from an earlier position: it must say the same again.
			cursor /= 2
		}
		before := len(check.listed)
		page, failure := client.Read(limited, check.id, cursor, 0)
		one.judgeRead(check, cursor, page, failure)
		if failure == nil {
			took := watch.Now().Since(begun)
			for _, output := range check.listed[before:] {
				one.result.item(output.Phase == hopper.Settled, took, took <= result)
			}
		}
		watch.Sleep(almanac.LoadPollPause)
	}
	if missing := len(lot.Requests) - len(check.listed); missing > 0 {
		one.result.failItems(missing, "item not listed")
	}
	one.readAgain(client, check)
}

// readAgain reads a lot from the start: what was read must come again.
func (one *run) readAgain(client *hopper.Client, check *lotCheck) {
	limited, release := errand.Timed(errand.Background(), 2*almanac.LotCallTime)
	defer release()
	for cursor, seen := 0, len(check.listed); cursor < seen; {
		page, failure := client.Read(limited, check.id, cursor, 0)
		one.judgeRead(check, cursor, page, failure)
		switch {
		case failure == nil && len(page.Outputs) == 0:
			one.result.find(Finding{"LOST", check.id, fmt.Sprintf("position %d was read before, and is gone", cursor)})
			return
		case failure == nil:
			cursor = page.Next
		case !hopper.Again(failure):
			return
		case limited.Err() != nil:
			one.result.note("lot " + check.id + " could not be read again: " + failure.Error())
			return
		default:
			watch.Sleep(almanac.LabRetry)
		}
	}
}

// judgeRead takes one read of a lot that was accepted.
func (one *run) judgeRead(check *lotCheck, cursor int, page *hopper.Page, failure error) {
	switch {
	case failure == nil:
		for _, finding := range check.page(cursor, page) {
			one.result.find(finding)
		}
	case mishap.Of(failure, hopper.Spoilt):
		one.result.find(Finding{"MIXED", check.id, failure.Error()})
	case !hopper.Again(failure):
		one.result.find(Finding{"LOST", check.id, failure.Error()})
	}
}

// promiseItems notes that none of a lot's items may run.
func (one *run) promiseItems(check *lotCheck, refused bool) {
	one.lock.Lock()
	defer one.lock.Unlock()
	for item := range check.events {
		one.sent[item].promised = refused
	}
}
