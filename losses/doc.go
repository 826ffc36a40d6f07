// Package losses tells from the logs of instances which requests got no answer in time,
// when, and for which cause. It reads the lines that end each request; nothing of the
// running system depends on it.
package losses
