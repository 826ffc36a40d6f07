// Package engine implements the client of endpoints: model engines, which speak
// the OpenAI API with a few additions, and plain HTTP services.
//
// Failures are classified by what they prove. NotStartedError proves that the
// endpoint did not start the request; after an UnknownError it may have.
package engine
