package hosted

import "oleandervane.example"

// status describes the configuration in force on this VM, for operators.
type status struct {
	Revision     oleandervane.Revision `json:"revision"`
	Routes       int                   `json:"routes"`
	Services     int                   `json:"services"`
	Servers      int                   `json:"servers"`
	RequiresKeys bool                  `json:"requires_keys"`
	// Organisations and Keys are counts; keys themselves are never shown.
	Organisations int `json:"organisations"`
	Keys          int `json:"keys"`
	// KeysOutdated is set while requests that need a key are refused because this VM has no news of the store.
	KeysOutdated bool `json:"keys_outdated"`
	// Faults describe entries of the configuration that are not in force, or not as they are written. FaultCount counts all.
	Faults     []string `json:"faults"`
	FaultCount int      `json:"fault_count"`
}

func (entryVM *EntryVM) status() status {
	registry := entryVM.replica.registry.Load()
	status := status{Servers: len(registry.BackendServers), KeysOutdated: entryVM.keysOutdated()}
	table := registry.Table
	if table == nil {
		return status
	}
	status.Revision, status.Routes, status.Services = table.Revision, len(table.Routes), len(table.Services)
	status.RequiresKeys, status.Organisations = table.RequiresKeys, len(table.Organisations)
	for _, organisation := range table.Organisations {
		status.Keys += len(organisation.Keys)
	}
	status.Faults, status.FaultCount = table.Faults, table.FaultCount
	return status
}
