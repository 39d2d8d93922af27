package metrics

// Values of TagReason in ClientsRefused.
const (
	ReasonHeadTooLarge = "head_too_large" // answered 431
	ReasonHeadTimeout  = "head_timeout"   // answered 408
	ReasonBodyTooLarge = "body_too_large" // answered 413
	ReasonBodyTimeout  = "body_timeout"   // answered 408
	ReasonBusy         = "busy"           // answered 503, as its memory does not fit
	ReasonChosen       = "chosen"         // closed for others; counted again as busy if part of a request was there
	ReasonConnections  = "connections"    // closed at once, as there are too many
	ReasonIdle         = "idle"           // closed, as nothing was received in time
	ReasonHandshake    = "handshake"      // closed, as its TLS handshake failed or took too long
)
