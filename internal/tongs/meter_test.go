package tongs_test

import (
	"testing"

	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
)

// Both transports count a call and its answer at both ends, by kind and place.
func TestTrafficIsCounted(test *testing.T) {
	room := tongs.NewRoom()
	makers := map[string]func() (tongs.Transport, string){
		"wire": func() (tongs.Transport, string) {
			address := freeAddress(test)
			return tongs.NewWire(address), address
		},
		"twin": func() (tongs.Transport, string) {
			return room.Transport("server:1"), "server:1"
		},
	}
	for name, make := range makers {
		server, address := make()
		_ = server.Serve(func(pattern.Kind, []byte) ([]byte, error) { return []byte("four"), nil })
		client := server
		if name == "twin" {
			client = room.Transport("client:1")
		} else {
			client = tongs.NewWire("")
		}
		client.(tongs.Metered).Meter().Learn(address, true)
		if _, failure := client.Call(address, pattern.KindGossip, []byte("seven b"), enough); failure != nil {
			test.Fatal(name, failure)
		}
		const head = 17
		want := tongs.Flow{Sent: tongs.Count{Messages: 1, Bytes: head + 7}, Received: tongs.Count{Messages: 1, Bytes: head + 4}}
		if got := client.(tongs.Metered).Meter().Total(tongs.PlaceOwnHall); got != want {
			test.Fatalf("%s: client counted %+v", name, got)
		}
		readings := client.(tongs.Metered).Meter().Readings()
		if len(readings) != 1 || readings[0].Kind != pattern.KindGossip || readings[0].Place != tongs.PlaceOwnHall {
			test.Fatalf("%s: %+v", name, readings)
		}
		back := tongs.Flow{Sent: want.Received, Received: want.Sent}
		if got := server.(tongs.Metered).Meter().Total(tongs.PlaceUnknown); got != back {
			test.Fatalf("%s: server counted %+v", name, got)
		}
		server.Close()
		client.Close()
	}
}
