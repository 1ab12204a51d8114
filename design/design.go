// Package design describes the HTTP interfaces of the balancer and of the operators' console in goa's
// design language, from which the code in gen is generated.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("rattanwood", func() {
	Title("rattanwood balancer")
	Description("Runs requests of Callers and shows operators the state of one balancer.")
})

var _ = Service("requests", func() {
	Description("Runs requests of Callers on upstreams.")
	Error("refused", Refusal, "The request was not run.")
	Error("unknown", Refusal, "The request may have been run; its outcome is unknown.")
	Error("invalid", Refusal, "The request is invalid and was not run.")
	Method("run", func() {
		Payload(func() {
			Attribute("service", String, "Name of the service", func() {
				MaxLength(63)
			})
			Attribute("id", String, "Id that the Caller chose for the request", func() {
				MinLength(1)
				MaxLength(64)
				Pattern(`^[A-Za-z0-9._-]+$`)
			})
			Attribute("idempotent", Boolean, "Whether the request may run more than once", func() {
				Default(false)
			})
			Attribute("deadline", Int, "Time limit for the request in milliseconds, 0 for the limit of the service", func() {
				Default(0)
				Minimum(0)
				Maximum(600000)
			})
			Attribute("age", Int, "Milliseconds since the Caller first sent a request with this id, -1 if not given", func() {
				Default(-1)
				Minimum(-1)
			})
			Attribute("body", String, "Request body for the upstream", func() {
				MaxLength(65536)
			})
			Required("service", "id")
		})
		Result(func() {
			Attribute("upstream", String, "Name of the upstream that answered")
			Attribute("body", String, "Complete response body of the upstream")
			Attribute("replayed", Boolean, "Whether the response was recorded for an earlier attempt with the same id")
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

// Refusal is the response body when a request was refused, is invalid or has an unknown outcome.
var Refusal = Type("Refusal", func() {
	ErrorName("name", String, "Name of the error: refused, unknown or invalid")
	Attribute("reason", String, "Reason, one of a fixed set of words")
	Attribute("detail", String, "Explanation and what the Caller can do")
	Attribute("retry", Int, "Seconds after which the Caller should retry")
	Required("name", "reason", "detail", "retry")
})

var _ = Service("operators", func() {
	Description("Health, readiness and state of one balancer, for operators.")
	Method("health", func() {
		Result(func() {
			Attribute("state", String, "serving, waking (resuming after a pause) or leaving (shutting down)")
			Attribute("version", UInt64, "Document version in force for new flows")
			Required("state", "version")
		})
		HTTP(func() {
			GET("/health")
			Response(StatusOK)
		})
	})
	Error("unready", ErrorResult, "The balancer should not receive packets.")
	Method("ready", func() {
		HTTP(func() {
			GET("/ready")
			Response(StatusOK)
			Response("unready", StatusServiceUnavailable)
		})
	})
	Method("state", func() {
		Payload(func() {
			Attribute("rows", Int, "Maximum number of flows to list", func() {
				Default(100)
				Minimum(0)
				Maximum(100000)
			})
			Attribute("upstreams", Boolean, "Whether to list the upstreams", func() {
				Default(true)
			})
		})
		Result(Any)
		HTTP(func() {
			GET("/state")
			Param("rows")
			Param("upstreams")
			Response(StatusOK)
		})
	})
})
