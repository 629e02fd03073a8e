package loadgen

import (
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
)

// runSession runs one session: it keeps one connection to one gateway and sends its next request the
// moment the previous response is complete, whatever happens to the gateway in the meantime, until a
// response announces the close or the connection fails. Then it goes on at another gateway.
func (r *run) runSession(ctx contexts.Context, started clock.Instant, index int) {
	random := rand.New(rand.NewSource(r.options.Seed + constants.LoadSessionSeed + int64(index)))
	end := started.Add(r.options.For)
	for number := constants.LoadCount * (index + 1); ctx.Err() == nil && clock.Now() < end; {
		node, client := random.Intn(len(r.info.Ingress)), newSessionClient()
		for usable := true; usable && ctx.Err() == nil && clock.Now() < end; number++ {
			spec := r.sessionRequest(random, number)
			spec.node, spec.client = node, client
			usable = r.sendWithRetries(spec)
		}
		client.CloseIdleConnections()
		r.pause(constants.LabRetry / 4)
	}
}

// newSessionClient returns a client with one connection.
func newSessionClient() *http.Transport {
	dialer := &net.Dialer{Timeout: constants.EmulatorHeartbeatWait}
	return &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: dialer.DialContext}
}

// sessionRequest draws the next request of a session. Streams last for up to some seconds, and a part of the
// bodies takes as long as that, so that many requests begin before a gateway drains and end afterwards.
func (r *run) sessionRequest(random *rand.Rand, number int) *requestSpec {
	kind := drawKind(r.options.Mix, random)
	spec := &requestSpec{kind: kind, route: r.routes[kind], number: number, body: []byte("order " + strconv.Itoa(number))}
	if profiles[kind].prefixes > 0 {
		spec.prompt = profiles[kind].prompt(random)
		spec.prompt.outputTokens = 1 + random.Int63n(constants.SessionOutputTokens)
	}
	if random.Intn(4) == 0 {
		spec.uploadTime = clock.Duration(random.Int63n(int64(constants.SessionUploadTime)))
		spec.chunked = random.Intn(2) == 0
	}
	return spec
}

// requestBody is the body of a request, which is sent byte by byte with pauses, or at once if pause is 0.
// ended is called before its last byte is sent.
type requestBody struct {
	rest  []byte
	pause clock.Duration
	sleep func(clock.Duration)
	ended func()
}

// Read implements io.Reader.
func (b *requestBody) Read(into []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	part := b.rest
	if b.pause > 0 {
		b.sleep(b.pause)
		part = part[:1]
	}
	count := copy(into, part)
	if b.rest = b.rest[count:]; len(b.rest) == 0 {
		b.ended()
	}
	return count, nil
}
