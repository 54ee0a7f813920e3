// Package kqdistribute spreads configuration versions over the overlay: a push
// of version and digest to the neighbours, and a pull of the root by whoever
// lacks it. What it holds only ever grows in version.
package kqdistribute
