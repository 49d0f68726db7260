// Package version defines the version that all programs print for --version.
package version

// Version is the version of the latest release.
const Version = "0.1.0"
