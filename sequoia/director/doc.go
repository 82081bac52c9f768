// Package director holds the routes and organisations that the operators have configured, validates them, and finds the
// route and the organisation of a request.
package director
