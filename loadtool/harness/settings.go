package harness

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/parser"
)

const (
	operatorPort        = 7091
	controllerAdminPort = 7093
	operatorKeyFile     = "operator.key"
	// OperatorKey is the bearer key of the operator API in a fleet.
	OperatorKey = "demo-operator-of-a-test-fleet"
)

// OperatorAddress returns the operator API address of the controller on a VM.
func OperatorAddress(vm parser.VM) netip.AddrPort {
	return netip.AddrPortFrom(vm.ControllerAddress.Addr(), operatorPort)
}

// controllerAdminAddress returns the admin address of the controller on a VM.
func controllerAdminAddress(vm parser.VM) netip.AddrPort {
	return netip.AddrPortFrom(vm.ControllerAddress.Addr(), controllerAdminPort)
}

// settingsFor returns the settings of the gateway or controller on a VM.
func (f *Fleet) settingsFor(spec Spec, vm parser.VM) loader.Settings {
	settings := loader.Settings{
		VM:              vm.Name,
		Zone:            vm.Zone,
		PlatformAddress: f.platformAddress(vm.Zone),
		Controllers:     f.controllerAddresses(vm.Zone),
		LogLevel:        "info",
	}
	if spec.Program == ProgramController {
		settings.ControllerAddress = vm.ControllerAddress.AddrPort
		settings.AdminAddress = controllerAdminAddress(vm)
		settings.OperatorAddress = OperatorAddress(vm)
		settings.OperatorKeyFile = filepath.Join(f.config.Folder, operatorKeyFile)
		settings.DataFolder = f.DataFolder(vm.Name)
		return settings
	}
	settings.CallerAddress = vm.CallerAddress.AddrPort
	settings.InternalAddress = vm.InternalAddress.AddrPort
	settings.RPCAddress = vm.RPCAddress.AddrPort
	settings.AdminAddress = vm.AdminAddress.AddrPort
	settings.Peers = f.peerAddresses(vm)
	return settings
}

// DataFolder returns the data folder of the controller on a VM.
func (f *Fleet) DataFolder(vm string) string {
	return filepath.Join(f.config.Folder, "data", vm)
}

// controllerAddresses returns the addresses of all controllers, those of the availability zone first.
func (f *Fleet) controllerAddresses(zone string) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, vm := range f.Document.VMs {
		switch {
		case !vm.HasController():
		case vm.Zone == zone:
			local = append(local, vm.ControllerAddress.AddrPort)
		default:
			remote = append(remote, vm.ControllerAddress.AddrPort)
		}
	}
	return slices.Concat(local, remote)
}

func (f *Fleet) peerAddresses(local parser.VM) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, vm := range f.Document.VMs {
		if vm.Zone == local.Zone && vm.Name != local.Name {
			peers = append(peers, vm.RPCAddress.AddrPort)
		}
	}
	return peers
}

// writeSettings writes the settings file of a process and returns its path. Unset addresses are omitted, because an
// empty string is not a valid address.
func (f *Fleet) writeSettings(spec Spec, settings loader.Settings) (string, error) {
	text, err := toml.Marshal(settings)
	if err != nil {
		return "", wrapError("format settings", KindFile, err)
	}
	var fields map[string]any
	if err := toml.Unmarshal(text, &fields); err != nil {
		return "", wrapError("format settings", KindFile, err)
	}
	for key, value := range fields {
		if value == "" {
			delete(fields, key)
		}
	}
	if text, err = toml.Marshal(fields); err != nil {
		return "", wrapError("format settings", KindFile, err)
	}
	path := filepath.Join(f.config.Folder, "settings", spec.Name()+".toml")
	return path, wrapError("write settings", KindFile, os.WriteFile(path, text, 0o600))
}
