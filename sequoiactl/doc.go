// Command sequoiactl is the command line tool with which operators validate, test and promote the document of a
// sequoiaspread environment, and inspect its status and error budgets.
package main
