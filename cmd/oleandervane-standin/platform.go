package main

import (
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/standin/vmliststandin"
	"oleandervane.example/timer"
)

type storeCommand struct {
	Address string `long:"address" required:"true" description:"address to listen on, IP and port"`
}

// Execute runs the store until SIGTERM or SIGINT.
func (storeCommand *storeCommand) Execute([]string) error {
	return serve("store", newServer(storeCommand.Address, storestandin.New(timer.System{}).Handler()))
}

type vmListCommand struct {
	Address string `long:"address" required:"true" description:"address to listen on, IP and port"`
}

// Execute runs the VM list until SIGTERM or SIGINT.
func (vmListCommand *vmListCommand) Execute([]string) error {
	return serve("vm-list", newServer(vmListCommand.Address, vmliststandin.New(timer.System{}).Handler()))
}
