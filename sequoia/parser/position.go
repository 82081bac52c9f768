package parser

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps key paths such as "vms[2].zone" to line numbers.
type positions struct {
	lines  map[string]int
	counts map[string]int
}

func findPositions(text []byte) positions {
	p := positions{lines: map[string]int{}, counts: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := p.locate(&parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = p.resolve(path)
			p.lines[prefix] = line
		case unstable.ArrayTable:
			prefix = p.appendElement(path)
			p.lines[prefix] = line
		case unstable.KeyValue:
			p.lines[joinKey(prefix, strings.Join(path, "."))] = line
		default:
		}
	}
	return p
}

func (p positions) locate(parser *unstable.Parser, node *unstable.Node) ([]string, int) {
	var path []string
	line := 0
	keys := node.Key()
	for keys.Next() {
		key := keys.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		path = append(path, string(key.Data))
	}
	return path, line
}

// resolve joins the parts of a path. A part that names an array gets the index of its last element.
func (p positions) resolve(path []string) string {
	prefix := ""
	for _, part := range path {
		prefix = joinKey(prefix, part)
		if count := p.counts[prefix]; count > 0 {
			prefix = fmt.Sprintf("%s[%d]", prefix, count-1)
		}
	}
	return prefix
}

func (p positions) appendElement(path []string) string {
	parent := p.resolve(path[:len(path)-1])
	array := joinKey(parent, path[len(path)-1])
	index := p.counts[array]
	p.counts[array] = index + 1
	return fmt.Sprintf("%s[%d]", array, index)
}

// line returns the line of a key, or of its closest parent in the document.
func (p positions) line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		separator := strings.LastIndexAny(key, ".[")
		if separator < 0 {
			break
		}
		key = key[:separator]
	}
	return 1
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
