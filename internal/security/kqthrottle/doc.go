// Package kqthrottle holds back whoever fails to prove who they are too often.
package kqthrottle
