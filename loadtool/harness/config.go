package harness

// Config holds the settings of a Fleet.
type Config struct {
	// Bin is the folder that contains the programs.
	Bin string
	// Folder is where settings files, data folders and logs are stored.
	Folder string
	// Document is the path of the environment document.
	Document string
	// Upstreams is the number of upstream VMs of a pool; pools without an entry get one for each availability zone.
	Upstreams map[string]int
	// Links inserts relays between processes; it may be nil.
	Links *Links
	// RunnerFlags and ServiceFlags are appended to the command lines of the test upstreams.
	RunnerFlags  []string
	ServiceFlags []string
}

// Program names one of the programs that a fleet consists of.
type Program string

// Programs of a fleet.
const (
	ProgramVMList     Program = "vmlist"
	ProgramRunner     Program = "runner"
	ProgramService    Program = "plainservice"
	ProgramController Program = "controller"
	ProgramGateway    Program = "gateway"
)

// Spec identifies one process: its program, its VM, the availability zone of the VM and, for an upstream, its pool.
type Spec struct {
	Program Program
	VM      string
	Zone    string
	Pool    string
}

// Name returns the name of the process, which is unique within a fleet.
func (s Spec) Name() string {
	return string(s.Program) + "@" + s.VM
}
