// Package design describes the HTTP interface of a balancer for goa.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("rattanwood", func() {
	Title("rattanwood balancer")
	Description("Requests of Callers, and what operators see of one balancer.")
})

var _ = Service("requests", func() {
	Description("Runs requests of Callers on upstreams.")
	Error("refused", Refusal, "The request was not run.")
	Error("unknown", Refusal, "It is not known whether the request was run.")
	Error("invalid", Refusal, "The request breaks a limit and was not run.")
	Method("run", func() {
		Payload(func() {
			Attribute("service", String, "Name of the service", func() {
				MaxLength(63)
			})
			Attribute("id", String, "Id that the Caller made for the request", func() {
				MinLength(1)
				MaxLength(64)
				Pattern(`^[A-Za-z0-9._-]+$`)
			})
			Attribute("idempotent", Boolean, "Whether the request may run more than once", func() {
				Default(false)
			})
			Attribute("deadline", Int, "Time for the request in milliseconds", func() {
				Default(0)
				Minimum(0)
				Maximum(600000)
			})
			Attribute("age", Int, "Milliseconds since the Caller first sent the id, -1 if it doesn't say", func() {
				Default(-1)
				Minimum(-1)
			})
			Attribute("body", String, "Body for the upstream", func() {
				MaxLength(65536)
			})
			Required("service", "id")
		})
		Result(func() {
			Attribute("upstream", String, "Name of the upstream that answered")
			Attribute("body", String, "Whole answer of the upstream")
			Attribute("replayed", Boolean, "Whether the answer is that of an earlier try")
			Required("upstream", "body", "replayed")
		})
		HTTP(func() {
			POST("/v1/{service}/requests/{id}")
			Header("idempotent:Idempotent")
			Header("deadline:Deadline")
			Header("age:Age-Of-Request")
			Body("body")
			Response(StatusOK)
			Response("refused", StatusServiceUnavailable, func() {
				Header("retry:Retry-After")
			})
			Response("unknown", StatusGatewayTimeout, func() {
				Header("retry:Retry-After")
			})
			Response("invalid", StatusBadRequest, func() {
				Header("retry:Retry-After")
			})
		})
	})
})

// Refusal is the body of every outcome that isn't an answer.
var Refusal = Type("Refusal", func() {
	ErrorName("name", String, "Kind of the outcome")
	Attribute("reason", String, "Why, as a fixed word")
	Attribute("detail", String, "What the Caller can do")
	Attribute("retry", Int, "Seconds after which to ask again")
	Required("name", "reason", "detail", "retry")
})

var _ = Service("operators", func() {
	Description("What operators see of one balancer.")
	Method("health", func() {
		Result(func() {
			Attribute("state", String, "serving, waking or leaving")
			Attribute("version", UInt64, "Version in force for new flows")
			Required("state", "version")
		})
		HTTP(func() {
			GET("/health")
			Response(StatusOK)
		})
	})
	Error("unready", ErrorResult, "The balancer shouldn't get packets.")
	Method("ready", func() {
		HTTP(func() {
			GET("/ready")
			Response(StatusOK)
			Response("unready", StatusServiceUnavailable)
		})
	})
	Method("state", func() {
		Payload(func() {
			Attribute("rows", Int, "Largest number of flows to list", func() {
				Default(100)
				Minimum(0)
				Maximum(100000)
			})
		})
		Result(Any)
		HTTP(func() {
			GET("/state")
			Param("rows")
			Response(StatusOK)
		})
	})
})
