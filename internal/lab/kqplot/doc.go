// Package kqplot draws measurement results as SVG charts.
package kqplot
