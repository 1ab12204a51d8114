package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = Service("console", func() {
	Description("Serves the operators' forms; each form produces one document to publish.")
	Method("page", func() {
		Result(func() {
			Attribute("type", String)
			Required("type")
		})
		HTTP(func() {
			GET("/")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("type:Content-Type")
			})
		})
	})
	Method("status", func() {
		Description("Shows which of the operators' requests are in force on the balancers.")
		Result(func() {
			Attribute("type", String)
			Required("type")
		})
		Error("missing", ErrorResult)
		HTTP(func() {
			GET("/status")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("type:Content-Type")
			})
			Response("missing", StatusNotFound)
		})
	})
	Method("form", func() {
		Payload(func() {
			Attribute("name", String, func() { MaxLength(32) })
			Required("name")
		})
		Result(func() {
			Attribute("type", String)
			Required("type")
		})
		Error("missing", ErrorResult)
		HTTP(func() {
			GET("/forms/{name}")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("type:Content-Type")
			})
			Response("missing", StatusNotFound)
		})
	})
	Method("submit", func() {
		Payload(func() {
			Attribute("name", String, func() { MaxLength(32) })
			Required("name")
		})
		Result(func() {
			Attribute("type", String)
			Required("type")
		})
		Error("missing", ErrorResult)
		HTTP(func() {
			POST("/forms/{name}")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("type:Content-Type")
			})
			Response("missing", StatusNotFound)
		})
	})
})
