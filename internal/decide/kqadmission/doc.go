// Package kqadmission decides for one node which calls of a workspace to admit, so that the
// workspace keeps its rate over all nodes together. It admits the share of calls that the
// coordinator of the workspace last answered. While reports fail it also bounds its calls by its
// own recent rate, and once answers have stopped it keeps to its own portion of the rate.
package kqadmission
