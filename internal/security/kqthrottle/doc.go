// Package kqthrottle limits the rate of failed authentication attempts per source.
package kqthrottle
