// Package kqplot draws what a measurement found, as SVG.
package kqplot
