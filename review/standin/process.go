package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one machine of the system that runs one role.
type process struct {
	fleet    *fleet
	name     string
	role     string
	region   string
	host     int
	settings string
	logPath  string
	command  *exec.Cmd
	exited   chan struct{}
}

// start starts the role with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.fleet.program, p.role)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "SEQUOIASPREAD_NODE_FILE=" + p.settings,
	}
	// The process ends with the harness even if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.fleet.record.note("signal %s %s", signal, p.name)
	_ = p.command.Process.Signal(signal)
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceSeconds * time.Second):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) address(port int) string {
	return p.fleet.address(p.host, port)
}

func (p *process) log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

func logFile(dir, name string) string { return filepath.Join(dir, name+".log") }
