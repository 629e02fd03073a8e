//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The lots of this case. None of the numbers is above the largest of the site file: 2.16 lots a second, 100 items a lot,
// 92.4 events an item, 660 bytes an event. An event holds 16 tokens (stride), so an item has 432 + 768 tokens in and at
// most 92 x 16 out.
const (
	memoryLots    = 75
	memoryItems   = 100
	memoryEvents  = 92
	memoryEvent   = 650
	memoryBody    = 3000
	memoryLotGap  = time.Second * 100 / 216
	memoryDown    = 1300 * time.Millisecond
	memoryRecover = 30 * time.Second
)

// lotBody returns a lot.
func lotBody(id string, items, bodyBytes int) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	raw := []byte(eventText(id, 0, bodyBytes))
	list := make([]item, items)
	for i := range list {
		list[i] = item{ID: fmt.Sprintf("%s%04x", id[4:], i), Path: "/triage/3/91c4", Tokens: 2672, Body: base64.StdEncoding.EncodeToString(raw),
			Headers: map[string]string{"Lemonarch-Model": "m", "Lemonarch-Token-Count": "1200,1472", "Lemonarch-Prompt-Prefix": "9c2e41:432,5d07b8:768"}}
	}
	body, _ := json.Marshal(map[string]any{"requests": list})
	return body
}

// eventText returns the data of an event: letters and digits without a pattern, the same for each run.
func eventText(attempt string, id, size int) string {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	state := uint64(id)*0x9e3779b97f4a7c15 + 1
	for i := 0; i < len(attempt); i++ {
		state = (state ^ uint64(attempt[i])) * 0x100000001b3
	}
	text := make([]byte, size)
	for i := range text {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		text[i] = letters[state>>58]
	}
	return string(text)
}

// enforceMemory kills each process that is over its memory-mb, as the platform does, and starts it again after a
// short delay. It returns how many it killed so far.
func (f *fleet) enforceMemory(stop chan struct{}) *atomic.Int64 {
	killed := &atomic.Int64{}
	for _, m := range f.machines {
		for _, p := range m.processes {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
					}
					if now, _ := p.memory(); now > p.memoryMB {
						f.record.add("platform: %s uses %d MB of %d MB and is killed", p.name(), now, p.memoryMB)
						p.signal(syscall.SIGKILL)
						p.await(time.Second)
						killed.Add(1)
						time.Sleep(500 * time.Millisecond)
						if err := p.start(); err != nil {
							f.record.add("platform: %v", err)
						}
					}
				}
			}()
		}
	}
	return killed
}

// page is the answer to a read of a lot.
type page struct {
	Sum     int `json:"sum"`
	Outputs []struct {
		ID    string `json:"id"`
		Phase string `json:"phase"`
		Text  string `json:"text"`
	} `json:"outputs"`
}

// readLot reads the last position of a lot, again after each failure, until it comes or the time is up.
func (f *fleet) readLot(id string, position int, end time.Time) (result string, status int) {
	for try := 0; ; try++ {
		got, text, err := lotCall(f.ingress()[try%3], http.MethodGet, "/-/lots/"+id+"?page-cursor="+strconv.Itoa(position), testHost, map[string]string{"Lemonarch-Hold-Ms": "1000"}, nil, 2500*time.Millisecond)
		if err == nil {
			status = got
		}
		read := page{}
		if got == http.StatusOK && json.Unmarshal(text, &read) == nil && len(read.Outputs) > 0 {
			return read.Outputs[0].ID + " " + read.Outputs[0].Phase + " " + read.Outputs[0].Text, status
		}
		if time.Now().After(end) {
			return "", status
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// loadLots hands in lots until their results fill a part of the disks, and reads the last result of each.
func loadLots(r *record, stores int) (f *fleet, ids []string, before map[string]string, err error) {
	f, _, err = startSmall(r, stores, 6, 24, func(_ *worker, writer http.ResponseWriter, request *http.Request, _ []byte) {
		attempt := request.Header.Get("Lemonarch-Attempt-Id")
		writeEvents(writer, request, memoryEvents, 0, func(id int) string { return eventText(attempt, id, memoryEvent) })
	})
	if err != nil {
		return f, nil, nil, err
	}
	ids = make([]string, memoryLots)
	var group sync.WaitGroup
	for i := range ids {
		ids[i] = fmt.Sprintf("%012x%04x", 0x7c41e09b0000+i*0x10001, i)
		group.Add(1)
		go func() {
			defer group.Done()
			body := lotBody(ids[i], memoryItems, memoryBody)
			for try := 0; try < 20; try++ {
				status, _, _ := lotCall(f.ingress()[(i+try)%3], http.MethodPost, "/triage/"+ids[i], testHost, map[string]string{"Lemonarch-Attempt-Id": ids[i], "Content-Type": "application/json"}, body, 4*time.Second)
				if status == http.StatusAccepted {
					r.add("client: lot %s: 202, %d bytes", ids[i], len(body))
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		time.Sleep(memoryLotGap)
	}
	group.Wait()
	before = map[string]string{}
	for _, id := range ids {
		if before[id], _ = f.readLot(id, memoryItems-1, time.Now().Add(5*time.Second)); before[id] == "" {
			return f, nil, nil, fmt.Errorf("lot %s was not finished before the disruption", id)
		}
	}
	for _, p := range f.of("store") {
		now, peak := p.memory()
		r.add("platform: %s uses %d MB, %d MB at its peak, of %d MB", p.name(), now, peak, p.memoryMB)
	}
	r.add("client: %d lots accepted, the last result of each was read", len(ids))
	return f, ids, before, nil
}

// readAgain reads the results again, several lots at a time, until they have come or the time is up. It returns
// how many did not come.
func (f *fleet) readAgain(ids []string, before map[string]string, timeout time.Duration) int {
	end, missing := time.Now().Add(timeout), atomic.Int64{}
	work, group := make(chan string), sync.WaitGroup{}
	for range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			for id := range work {
				if after, status := f.readLot(id, memoryItems-1, end); after != before[id] && missing.Add(1) <= 5 {
					f.record.add("client: the result of lot %s that was read before does not come again; the last status was %d", id, status)
				}
			}
		}()
	}
	for _, id := range ids {
		work <- id
	}
	close(work)
	group.Wait()
	return int(missing.Load())
}

// playMemory fills a part of the disks with lots, and kills all processes at once.
func playMemory(r *record, trouble bool) (broken string, err error) {
	f, ids, before, err := loadLots(r, 3)
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	killed := f.enforceMemory(stop)
	if trouble {
		for _, m := range f.machines {
			for _, p := range m.processes {
				p.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(memoryDown)
		if err = f.startAll(); err != nil {
			return "", err
		}
	}
	missing := f.readAgain(ids, before, memoryRecover)
	r.add("client: %d of %d lots can't be read, %d processes were over their memory", missing, len(ids), killed.Load())
	if missing > 0 {
		return fmt.Sprintf("LOST: %d of %d lots that were accepted, and whose results were read, can't be read %.0f s after all processes were started again; "+
			"the platform killed processes over memory-mb %d times", missing, len(ids), memoryRecover.Seconds(), killed.Load()), nil
	}
	return "", nil
}
