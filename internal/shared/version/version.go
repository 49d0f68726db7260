// Package version holds the version that all programs answer to --version.
package version

// Version is that of the last release.
const Version = "0.1.0"
