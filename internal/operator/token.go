package operator

// Token holds the rights of an operator's token.
type Token struct {
	name     string
	mayWrite bool
}

// NewToken returns the rights of the operator with the name.
func NewToken(name string, mayWrite bool) Token { return Token{name: name, mayWrite: mayWrite} }

// Name returns the name of the operator, which logs and the history show.
func (token Token) Name() string { return token.name }

// MayWrite reports whether the operator may send edits and drains.
func (token Token) MayWrite() bool { return token.mayWrite }
