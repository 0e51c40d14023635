package message

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// ChangeRequest forwards a change of the configuration to another controller, which decides it together with other
// pending changes of the same registers.
//
//easyjson:json
type ChangeRequest struct {
	// Change is the body of the operator's call.
	Change easyjson.RawMessage `json:"c"`
}

// ChangeResponse is the response to return to the operator.
//
//easyjson:json
type ChangeResponse struct {
	Status int    `json:"s"` // HTTP status
	Error  string `json:"e,omitempty"`
}
