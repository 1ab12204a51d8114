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

// Bounds on one request.
const (
	// tries is the number of times that a Caller asks for one id.
	tries = 4
	// askDeadline is the deadline that a Caller gives, in milliseconds.
	askDeadline = 2000
)

// The said outcomes of a request.
const (
	Answered = "answered"
	Refused  = "refused"
	Unknown  = "unknown"
)

// RequestResult is what a Caller was told about one id.
type RequestResult struct {
	ID         string `json:"id"`
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"said"`
	// WrongAnswer is set if an answer was somebody else's or not whole.
	WrongAnswer bool `json:"wrong,omitempty"`
	Attempts    int  `json:"tries"`
	// Millis is the time to the final outcome.
	Millis int64  `json:"millis"`
	Reason string `json:"reason,omitempty"`
}

// client sends requests to balancers.
type client struct {
	http *http.Client
	webs func() []string
}

// ask runs one id until it is answered, certainly refused for good, or out of tries.
// A racing request is first sent to two balancers at the same time.
func (c *client) ask(ctx context.Context, service, id string, idempotent, racing bool, random *rand.Rand) RequestResult {
	r := RequestResult{ID: service + "/" + id, Idempotent: idempotent, Outcome: Unknown}
	begun := time.Now()
	for r.Attempts < tries && ctx.Err() == nil {
		webs := c.webs()
		if len(webs) == 0 {
			break
		}
		n := 1
		if racing && r.Attempts == 0 {
			n = 2
		}
		c.round(ctx, &r, service, id, idempotent, begun, pick(webs, n, random))
		r.Attempts++
		if r.Outcome == Answered || (r.Outcome == Refused && random.IntN(2) == 0) {
			break
		}
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
	r.Millis = time.Since(begun).Milliseconds()
	return r
}

func pick(webs []string, n int, random *rand.Rand) []string {
	var out []string
	for range n {
		out = append(out, webs[random.IntN(len(webs))])
	}
	return out
}

// round asks some balancers at the same time and keeps the best outcome.
func (c *client) round(ctx context.Context, r *RequestResult, service, id string, idempotent bool, begun time.Time, webs []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	said := ""
	for _, web := range webs {
		wg.Go(func() {
			one, reason, wrong := c.once(ctx, web, service, id, idempotent, time.Since(begun))
			mu.Lock()
			defer mu.Unlock()
			r.WrongAnswer = r.WrongAnswer || wrong
			if better(one, said) {
				said = one
				r.Reason = reason
			}
		})
	}
	wg.Wait()
	// What was once unknown stays so until there is an answer.
	if r.Outcome == Unknown && r.Attempts > 0 && said == Refused {
		return
	}
	r.Outcome = said
}

// better orders outcomes: an answer settles a race, and a refusal holds only if all refused.
func better(a, b string) bool {
	order := map[string]int{"": 0, Refused: 1, Unknown: 2, Answered: 3}
	return order[a] > order[b]
}

func (c *client) once(ctx context.Context, web, service, id string, idempotent bool, age time.Duration) (said, reason string, wrong bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*askDeadline*time.Millisecond)
	defer cancel()
	body, _ := json.Marshal("for " + id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/%s/requests/%s", web, service, id), bytes.NewReader(body))
	if err != nil {
		return Refused, "request", false
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotent", strconv.FormatBool(idempotent))
	req.Header.Set("Deadline", strconv.Itoa(askDeadline))
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
	return judge(res.StatusCode, data, service+"/"+id)
}

// judge reads what a balancer said and checks that an answer is whole and for this id.
func judge(status int, data []byte, id string) (said, reason string, wrong bool) {
	var reply struct {
		Body   string `json:"body"`
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(data, &reply)
	switch status {
	case http.StatusOK:
		var echo struct{ ID, End string }
		err := json.Unmarshal([]byte(reply.Body), &echo)
		return Answered, "", err != nil || echo.ID != id || echo.End != "whole"
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		return Refused, reply.Reason, false
	}
	return Unknown, reply.Reason, false
}
