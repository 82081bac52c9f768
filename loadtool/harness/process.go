package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

var errAlreadyRunning = eris.New("process is already running")

// Process is one child process; it can be started again after it has exited.
type Process struct {
	Spec    Spec
	path    string
	args    []string
	logFile string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

// Start starts the process; its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return wrapError("start "+p.Spec.Name(), KindProcess, errAlreadyRunning)
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return wrapError("open log", KindFile, err)
	}
	defer log.Close()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = log, log
	command.Dir = filepath.Dir(filepath.Dir(p.logFile))
	// A separate process group keeps an interrupt at the terminal from reaching the children before their ordered stop.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return wrapError("start "+p.Spec.Name(), KindProcess, err)
	}
	p.command, p.exited = command, make(chan struct{})
	go p.wait(command, p.exited)
	return nil
}

func (p *Process) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(exited)
}

func (p *Process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// ID returns the process id of the running process, or 0.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal to the process; it does nothing if the process is not running.
func (p *Process) Signal(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	return wrapError("signal "+p.Spec.Name(), KindProcess, p.command.Process.Signal(signal))
}

// Pause suspends the process.
func (p *Process) Pause() error {
	return p.Signal(syscall.SIGSTOP)
}

// Resume resumes a suspended process.
func (p *Process) Resume() error {
	return p.Signal(syscall.SIGCONT)
}

// Kill terminates the process without a graceful stop and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if p.exited != nil {
		<-p.exited
	}
	return nil
}

// Stop requests a graceful stop, waits until the process has exited, and returns an error unless its status is 0.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits until the process has exited, and returns an error unless its status is 0.
func (p *Process) Wait(ctx context.Context) error {
	if p.exited == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return wrapError("stop "+p.Spec.Name(), KindTimeout, ctx.Err())
	case <-p.exited:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return wrapError("stop "+p.Spec.Name(), KindProcess, p.err)
}
