// Package losses derives from the logs of instances which requests got no answer in time,
// when, and for which cause. It reads the "settle" line that each request ends with; no part
// of the running system depends on it.
package losses
