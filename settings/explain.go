package settings

import (
	"fmt"
	"slices"
	"strings"
)

// PathError is returned for a path that names no node of the tree.
type PathError struct{ Path string }

// Error names the path.
func (e *PathError) Error() string { return fmt.Sprintf("no node %q in the settings", e.Path) }

// Explain returns the effective values of a node and the node that each is inherited
// from. path is the path of the node, such as pools/llm/models/m/adapters/a, or the name
// of a service, model, adapter or version. The error is a *PathError.
func Explain(t *Tree, path string) ([]Value, error) {
	for _, n := range nodes(t) {
		if n.path == strings.Trim(path, "/") || n.name == path {
			return Inherit(n.chain), nil
		}
	}
	return nil, &PathError{Path: path}
}

// node is a node of the tree. chain holds its policy and those of its ancestors, root
// first.
type node struct {
	path, name string
	chain      []Node
}

// nodes returns the nodes of the tree sorted by path.
func nodes(t *Tree) []node {
	root := node{chain: []Node{{Path: "(root)", Policy: t.Policy}}}
	list := []node{root}
	for pool, p := range t.Pools {
		poolNode := root.child("pools/"+pool, "", p.Policy)
		list = append(list, poolNode)
		for model, m := range p.Models {
			list = append(list, modelNodes(poolNode, model, m)...)
		}
	}
	for name, s := range t.Services {
		list = append(list, root.child("services/"+name, name, s.Policy))
	}
	slices.SortFunc(list, func(a, b node) int { return strings.Compare(a.path, b.path) })
	return list
}

func modelNodes(pool node, name string, m *Model) []node {
	model := pool.child(pool.path+"/models/"+name, name, m.Policy)
	list := []node{model}
	for a, adapter := range m.Adapters {
		list = append(list, model.child(model.path+"/adapters/"+a, a, adapter.Policy))
	}
	for v, version := range m.Versions {
		list = append(list, model.child(model.path+"/versions/"+v, name+VersionSeparator+v, version.Policy))
	}
	return list
}

func (n node) child(path, name string, p Policy) node {
	return node{path: path, name: name, chain: append(slices.Clone(n.chain), Node{Path: path, Policy: p})}
}
