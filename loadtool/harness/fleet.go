package harness

import (
	"context"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/sequoia/parser"
)

var errUnknownProcess = eris.New("no such process")

// Fleet manages all processes of a deployment.
type Fleet struct {
	Document  *parser.Document
	Upstreams []Upstream

	config       Config
	logger       logrus.FieldLogger
	network      *network
	documentPath string
	processes    []*Process
	probeURLs    map[string]string
}

// New reserves a loopback network, starts the relays of the links and writes the files of a fleet to its folder. It
// does not start any process.
func New(ctx context.Context, config Config, logger logrus.FieldLogger) (*Fleet, error) {
	f := &Fleet{config: config, logger: logger, probeURLs: map[string]string{}}
	for _, name := range []string{"settings", "logs", "data"} {
		if err := os.MkdirAll(filepath.Join(config.Folder, name), 0o700); err != nil {
			return nil, wrapError("create folder", KindFile, err)
		}
	}
	if err := f.prepareDocument(ctx); err != nil {
		return nil, err
	}
	f.Upstreams = f.assignUpstreams()
	if err := f.addProcesses(); err != nil {
		f.network.release()
		return nil, err
	}
	return f, nil
}

// prepareDocument reserves a loopback network, and writes the document with addresses in that network and the operator
// key.
func (f *Fleet) prepareDocument(ctx context.Context) error {
	text, err := os.ReadFile(f.config.Document)
	if err != nil {
		return wrapError("read document", KindFile, err)
	}
	original, err := parser.Parse(f.config.Document, text)
	if err != nil {
		return wrapError("read document", KindFile, err)
	}
	originalOctet := original.VMs[0].CallerAddress.Addr().As4()[1]
	if f.network, err = reserveNetwork(ctx, originalOctet); err != nil {
		return err
	}
	logReplacedNetwork(f.logger, originalOctet, f.network.octet)
	rewritten := f.network.rewriteAddresses(string(text), originalOctet)
	f.documentPath = filepath.Join(f.config.Folder, "document.toml")
	if f.Document, err = parser.Parse(f.documentPath, []byte(rewritten)); err != nil {
		return wrapError("rewrite document", KindFile, err)
	}
	if err := os.WriteFile(filepath.Join(f.config.Folder, operatorKeyFile), []byte(OperatorKey+"\n"), 0o600); err != nil {
		return wrapError("write operator key", KindFile, err)
	}
	return wrapError("write document", KindFile, os.WriteFile(f.documentPath, []byte(rewritten), 0o600))
}

// DocumentFile returns the path of the document with the rewritten addresses.
func (f *Fleet) DocumentFile() string {
	return f.documentPath
}

func (f *Fleet) addProcesses() error {
	for _, zone := range f.Document.Zones() {
		list, err := f.writeVMList(zone)
		if err != nil {
			return err
		}
		address := f.platformAddress(zone)
		spec := Spec{Program: ProgramVMList, VM: "platform-" + zone, Zone: zone}
		f.add(spec, "http://"+address.String()+"/healthz", "--vm", spec.VM, "--zone", zone, "--address", address.String(), "--vms", list)
	}
	for _, upstream := range f.Upstreams {
		f.add(upstream.Spec, "http://"+upstream.Address.String()+"/health", f.upstreamArgs(upstream)...)
	}
	for _, vm := range f.Document.VMs {
		if vm.HasController() {
			if err := f.addServer(Spec{Program: ProgramController, VM: vm.Name, Zone: vm.Zone}, vm, controllerAdminAddress(vm)); err != nil {
				return err
			}
		}
	}
	for _, vm := range f.Document.VMs {
		if err := f.addServer(Spec{Program: ProgramGateway, VM: vm.Name, Zone: vm.Zone}, vm, vm.AdminAddress.AddrPort); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addServer(spec Spec, vm parser.VM, admin netip.AddrPort) error {
	settings := f.settingsFor(spec, vm)
	if f.config.Links != nil {
		overrides, err := f.config.Links.overrides(spec, f.targets())
		if err != nil {
			return err
		}
		settings.AddressOverrides = overrides
	}
	path, err := f.writeSettings(spec, settings)
	if err != nil {
		return err
	}
	f.add(spec, "http://"+admin.String()+"/readyz", "run", "--settings", path)
	return nil
}

func (f *Fleet) add(spec Spec, probeURL string, args ...string) {
	f.processes = append(f.processes, &Process{
		Spec: spec, path: filepath.Join(f.config.Bin, string(spec.Program)), args: args,
		logFile: filepath.Join(f.config.Folder, "logs", spec.Name()+".log"),
	})
	f.probeURLs[spec.Name()] = probeURL
}

// Process returns the process of a program on a VM.
func (f *Fleet) Process(program Program, vm string) (*Process, error) {
	for _, process := range f.processes {
		if process.Spec.Program == program && process.Spec.VM == vm {
			return process, nil
		}
	}
	return nil, wrapError("find "+string(program)+"@"+vm, KindProcess, errUnknownProcess)
}

// Processes returns the processes of a program.
func (f *Fleet) Processes(program Program) []*Process {
	var found []*Process
	for _, process := range f.processes {
		if process.Spec.Program == program {
			found = append(found, process)
		}
	}
	return found
}

// Logs returns the folder that contains the logs.
func (f *Fleet) Logs() string {
	return filepath.Join(f.config.Folder, "logs")
}

// Start starts the platforms and test upstreams, then the controllers, then the gateways, and waits after each group
// until it is ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.initControllers(ctx); err != nil {
		return err
	}
	startOrder := [][]Program{{ProgramVMList, ProgramRunner, ProgramService}, {ProgramController}, {ProgramGateway}}
	for _, programs := range startOrder {
		var group []*Process
		for _, program := range programs {
			group = append(group, f.Processes(program)...)
		}
		for _, process := range group {
			if err := process.Start(); err != nil {
				return err
			}
		}
		if err := f.WaitReady(ctx, group...); err != nil {
			return err
		}
	}
	return nil
}

// initControllers initialises the data folders of the initial consensus members.
func (f *Fleet) initControllers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, process := range f.Processes(ProgramController) {
		settings := process.args[len(process.args)-1]
		group.Go(func() error {
			command := exec.CommandContext(ctx, process.path, "init", "--settings", settings, "--document", f.documentPath)
			output, err := command.CombinedOutput()
			if err != nil {
				err = eris.Errorf("%v: %s", err, output)
			}
			return wrapError("init "+process.Spec.Name(), KindProcess, err)
		})
	}
	return group.Wait()
}
