// Package loader reads the settings file of a process and sets up its logging.
package loader
