package harness

// Config holds the settings of a Fleet.
type Config struct {
	// Bin is the folder with the programs.
	Bin string
	// Folder holds settings files, data folders and logs.
	Folder string
	// Document is the file of the environment document.
	Document string
	// Upstreams is the number of upstream VMs of a pool; pools without an entry get one for each availability zone.
	Upstreams map[string]int
	// Links puts relays between processes; it may be nil.
	Links *Links
	// RunnerFlags and ServiceFlags are added to the command lines of the stand-ins.
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

// Spec names one process: its program, its VM and the availability zone of the VM.
type Spec struct {
	Program Program
	VM      string
	Zone    string
	Pool    string
}

// Name returns a name that is unique within a fleet.
func (s Spec) Name() string {
	return string(s.Program) + "@" + s.VM
}
