package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Execution is one execution of a call by a plain service.
type Execution struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	VM   string `json:"vm"`
	// Late reports that the execution began after the time within which callers must detect that the service is leaving.
	Late bool `json:"late"`
}

func (f *Fleet) journalPath(spec Spec) string {
	return filepath.Join(f.config.Folder, "data", spec.VM+".journal")
}

// Executions reads the executions of all plain services, including those that were stopped or killed.
func (f *Fleet) Executions() ([]Execution, error) {
	var executions []Execution
	for _, process := range f.Processes(ProgramService) {
		journal, err := readJournal(f.journalPath(process.Spec))
		if err != nil {
			return nil, err
		}
		executions = append(executions, journal...)
	}
	return executions, nil
}

func readJournal(path string) ([]Execution, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, wrapError("read journal", KindFile, err)
	}
	defer file.Close()
	var executions []Execution
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var execution Execution
		if err := json.Unmarshal(scanner.Bytes(), &execution); err != nil {
			return nil, wrapError("read journal", KindFile, err)
		}
		executions = append(executions, execution)
	}
	return executions, nil
}
