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
	// Late says that it began after the time within which callers must notice that the service is leaving.
	Late bool `json:"late"`
}

func (f *Fleet) journal(spec Spec) string {
	return filepath.Join(f.config.Folder, "data", spec.VM+".journal")
}

// Executions reads the executions of all plain services, those that were stopped or killed included.
func (f *Fleet) Executions() ([]Execution, error) {
	var all []Execution
	for _, process := range f.Processes(ProgramService) {
		part, err := readJournal(f.journal(process.Spec))
		if err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	return all, nil
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
		var line Execution
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, wrapError("read journal", KindFile, err)
		}
		executions = append(executions, line)
	}
	return executions, nil
}
