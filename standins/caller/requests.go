package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxAttempts is how often a Caller sends the same request ID at most.
	maxAttempts = 4
	// requestDeadlineMillis is the deadline that a Caller gives the balancer with each attempt. It
	// waits twice as long for the response.
	requestDeadlineMillis = 2000
)

// Outcomes of a request as the Caller was told.
const (
	// Answered means that the request ran and its answer arrived.
	Answered = "answered"
	// Refused means that the request did not run.
	Refused = "refused"
	// Unknown means that the request may have run or not.
	Unknown = "unknown"
)

// RequestResult is what a Caller was told about one request ID.
type RequestResult struct {
	// ID holds the service and the request ID, separated by a slash.
	ID         string `json:"id"`
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"said"`
	// WrongAnswer is set if an answer was incomplete or belonged to another request.
	WrongAnswer bool `json:"wrong,omitempty"`
	// Attempts counts the rounds of sending; a round may send to two balancers.
	Attempts int `json:"tries"`
	// Millis is the time to the final outcome.
	Millis int64 `json:"millis"`
	// Reason tells why the request was not answered, as a keyword of the balancer or of the Caller.
	Reason string `json:"reason,omitempty"`
}

// client sends requests to random balancers.
type client struct {
	http      *http.Client
	balancers func() []string
}

// sendUntilDone sends one request ID until it is answered or maxAttempts is reached; after a
// refusal it gives up with a probability of one half. A racing request is sent to two balancers at
// the same time in the first round.
func (c *client) sendUntilDone(ctx context.Context, service, id string, idempotent, racing bool, random *rand.Rand) RequestResult {
	r := RequestResult{ID: service + "/" + id, Idempotent: idempotent, Outcome: Unknown}
	start := time.Now()
	for r.Attempts < maxAttempts && ctx.Err() == nil {
		balancers := c.balancers()
		if len(balancers) == 0 {
			break
		}
		n := 1
		if racing && r.Attempts == 0 {
			n = 2
		}
		c.sendRound(ctx, &r, service, id, idempotent, start, pickBalancers(balancers, n, random))
		r.Attempts++
		if r.Outcome == Answered || (r.Outcome == Refused && random.IntN(2) == 0) {
			break
		}
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
	r.Millis = time.Since(start).Milliseconds()
	return r
}

// pickBalancers draws n balancers at random; the same one may be drawn twice.
func pickBalancers(balancers []string, n int, random *rand.Rand) []string {
	var out []string
	for range n {
		out = append(out, balancers[random.IntN(len(balancers))])
	}
	return out
}

// sendRound sends a request to the given balancers at the same time and stores in r the outcome that
// outranks the others.
func (c *client) sendRound(ctx context.Context, r *RequestResult, service, id string, idempotent bool, start time.Time, balancers []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	best := ""
	for _, balancer := range balancers {
		wg.Go(func() {
			outcome, reason, wrong := c.sendOnce(ctx, balancer, service, id, idempotent, time.Since(start))
			mu.Lock()
			defer mu.Unlock()
			r.WrongAnswer = r.WrongAnswer || wrong
			if outranks(outcome, best) {
				best = outcome
				r.Reason = reason
			}
		})
	}
	wg.Wait()
	// A refusal doesn't tell whether an earlier attempt of unknown outcome ran.
	if r.Outcome == Unknown && r.Attempts > 0 && best == Refused {
		return
	}
	r.Outcome = best
}

// outranks reports whether outcome a takes precedence over b: an answer over all else, and an
// unknown outcome over a refusal, which holds only if all balancers refused.
func outranks(a, b string) bool {
	rank := map[string]int{"": 0, Refused: 1, Unknown: 2, Answered: 3}
	return rank[a] > rank[b]
}

// sendOnce sends a request to one balancer, with the time since it was first sent as its age.
func (c *client) sendOnce(ctx context.Context, balancer, service, id string, idempotent bool, age time.Duration) (outcome, reason string, wrong bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestDeadlineMillis*time.Millisecond)
	defer cancel()
	body, _ := json.Marshal("for " + id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/%s/requests/%s", balancer, service, id), bytes.NewReader(body))
	if err != nil {
		return Refused, "request", false
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotent", strconv.FormatBool(idempotent))
	req.Header.Set("Deadline", strconv.Itoa(requestDeadlineMillis))
	req.Header.Set("Age-Of-Request", strconv.FormatInt(age.Milliseconds(), 10))
	res, err := c.http.Do(req)
	if err != nil {
		return Unknown, "connection", false
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return Unknown, "torn", false
	}
	return parseReply(res.StatusCode, data, service+"/"+id)
}

// parseReply turns a balancer's response into an outcome. wrong is true for an answer that is
// incomplete or belongs to another request ID.
func parseReply(status int, data []byte, id string) (outcome, reason string, wrong bool) {
	var reply struct {
		Body   string `json:"body"`
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(data, &reply)
	switch status {
	case http.StatusOK:
		var answer struct{ ID, End string }
		err := json.Unmarshal([]byte(reply.Body), &answer)
		return Answered, "", err != nil || answer.ID != id || answer.End != "whole"
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		return Refused, reply.Reason, false
	}
	return Unknown, reply.Reason, false
}
