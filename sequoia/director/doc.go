// Package director holds the routes that the operators have configured, validates them, and finds the route of a
// request.
package director
