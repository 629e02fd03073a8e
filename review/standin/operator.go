package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

var operatorClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// configure sends a configuration to the controllers until it is acknowledged.
func (f *fleet) configure(generation int64, body map[string]any, limit time.Duration) error {
	body["generation"] = generation
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	last := ""
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.control(i%3)+"/-/Configuration.Replace", bytes.NewReader(text))
		if err != nil {
			return err
		}
		request.Header.Set("Lemonarch-Base-Revision", fmt.Sprint(f.base))
		response, err := operatorClient.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			last = fmt.Sprintf("%d %s", response.StatusCode, answer)
			if response.StatusCode == http.StatusOK {
				f.base = generation
				f.record.note("operator: configuration %d acknowledged by %s", generation, f.control(i%3))
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d not acknowledged, last answer %q: %w", generation, last, errCannotRun)
}

// awaitReady waits until every gateway calls itself ready and a store leads.
func (f *fleet) awaitReady(called context.Context) error {
	ready := func(url string, status int) bool {
		request, _ := http.NewRequestWithContext(called, http.MethodGet, url, nil)
		response, err := operatorClient.Do(request)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == status
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for i := range zones {
			all = all && ready(fmt.Sprintf("http://%s:%d/-/readiness", f.edge(i), readinessPort), http.StatusOK) &&
				ready("http://"+f.ingress(i)+"/-/lots/none", http.StatusNotFound)
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("fleet not ready: %w", errCannotRun)
}
