// Package query parses the statements of the operators' query language:
//
//	show hosts|services|backends|routes|customers|limits|ratelimits|availability|evacuations|quarantine|directives|documents [where f=v and g!=w]
//	drain backend SERVICE/ID [expect VERSION]
//	undrain backend SERVICE/ID [expect VERSION]
//	stop host NAME
//	set service NAME floor N [expect VERSION]
//	lift quarantine CONTENT
package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/pearshelf/pearshelf/internal/errs"
)

// Statement is the root of the grammar. Exactly one field is set.
type Statement struct {
	Show    *Show   `parser:"  'show' @@"`
	Drain   *Target `parser:"| 'drain' 'backend' @@"`
	Undrain *Target `parser:"| 'undrain' 'backend' @@"`
	Stop    *Host   `parser:"| 'stop' 'host' @@"`
	Set     *Set    `parser:"| 'set' 'service' @@"`
	Lift    *Lift   `parser:"| 'lift' 'quarantine' @@"`
}

// Show lists the rows of a table that meet all conditions of its where clause.
type Show struct {
	Table string      `parser:"@( 'hosts' | 'services' | 'backends' | 'routes' | 'customers' | 'limits' | 'ratelimits' | 'availability' | 'evacuations' | 'quarantine' | 'directives' | 'documents' )"`
	Where []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Field string `parser:"@Word"`
	Op    string `parser:"@( '=' | '!=' )"`
	Value string `parser:"@Word"`
}

// Target identifies a backend server by its service and ID. Expect, if set, is the version that the
// operator expects to replace.
type Target struct {
	Service string `parser:"@Word '/'"`
	Backend string `parser:"@Word"`
	Expect  string `parser:"( 'expect' @Word )?"`
}

// Host identifies a host by its name.
type Host struct {
	Name string `parser:"@Word"`
}

// Set changes the floor of a service, which is the minimum number of backend servers kept in
// rotation. Expect is used as in Target.
type Set struct {
	Service string `parser:"@Word"`
	Floor   int    `parser:"'floor' @Word"`
	Expect  string `parser:"( 'expect' @Word )?"`
}

// Lift ends the quarantine of a request's content.
type Lift struct {
	Content string `parser:"@Word"`
}

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `[A-Za-z0-9_.:*-]+`},
		{Name: "Punct", Pattern: `!=|=|/`},
		{Name: "space", Pattern: `\s+`},
	})),
)

// Parse parses a statement. Its errors have the kind errs.KindStatement.
func Parse(text string) (*Statement, error) {
	statement, err := parser.ParseString("", strings.TrimSpace(text))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindStatement, "statement cannot be parsed", "see pearshelf --help, for example: show backends where service=checkout")
	}
	return statement, nil
}

// Matches reports whether a row meets all conditions. If a condition names a column that the table
// does not have, unknown is the name of that column.
func Matches(where []Condition, columns, cells []string) (ok bool, unknown string) {
	for _, c := range where {
		at := indexOf(columns, c.Field)
		if at < 0 {
			return false, c.Field
		}
		if (cells[at] == c.Value) != (c.Op == "=") {
			return false, ""
		}
	}
	return true, ""
}

func indexOf(columns []string, field string) int {
	for i, column := range columns {
		if column == field {
			return i
		}
	}
	return -1
}
