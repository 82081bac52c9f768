// Package director holds the routes that the operators want in force, checks them, and finds the route of a request.
package director
