package transport_test

import (
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// TestTrafficIsCounted checks that both transports count a request and its response on both sides, by
// kind and locality.
func TestTrafficIsCounted(t *testing.T) {
	network := transport.NewMemoryNetwork()
	makers := map[string]func() (transport.Transport, string){
		"tcp": func() (transport.Transport, string) {
			address := freeAddress(t)
			return transport.NewTCP(address), address
		},
		"memory": func() (transport.Transport, string) {
			return network.Transport("server:1"), "server:1"
		},
	}
	for name, make := range makers {
		server, address := make()
		_ = server.Serve(func(messages.Kind, []byte) ([]byte, error) { return []byte("four"), nil })
		client := server
		if name == "memory" {
			client = network.Transport("client:1")
		} else {
			client = transport.NewTCP("")
		}
		client.(transport.Metered).Meter().SetLocality(address, true)
		if _, err := client.Call(address, messages.KindGossip, []byte("seven b"), callTimeout); err != nil {
			t.Fatalf("%s: call: %v", name, err)
		}
		const head = 17
		want := transport.Flow{Sent: transport.Count{Messages: 1, Bytes: head + 7}, Received: transport.Count{Messages: 1, Bytes: head + 4}}
		if got := client.(transport.Metered).Meter().Total(transport.LocalitySameZone); got != want {
			t.Fatalf("%s: client counted flow %+v, want %+v", name, got, want)
		}
		samples := client.(transport.Metered).Meter().Samples()
		if len(samples) != 1 || samples[0].Kind != messages.KindGossip || samples[0].Locality != transport.LocalitySameZone {
			t.Fatalf("%s: got client samples %+v, want one of KindGossip in the own zone", name, samples)
		}
		resp := transport.Flow{Sent: want.Received, Received: want.Sent}
		if got := server.(transport.Metered).Meter().Total(transport.LocalityUnknown); got != resp {
			t.Fatalf("%s: server counted flow %+v, want %+v", name, got, resp)
		}
		server.Close()
		client.Close()
	}
}
