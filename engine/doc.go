// Package engine holds the clients of endpoints: model engines, which speak
// the OpenAI API with a few additions, and plain HTTP services.
//
// Every failure is classed by what it proves. NotStartedError is proof that
// the endpoint did not start the request; UnknownError says that it may have.
package engine
