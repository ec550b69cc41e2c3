// Package attempts records the attempts that an owner has received, so that it can tell an
// ingress node whose connection failed what became of one of them. The record decides
// whether an attempt has not run and will never run; only then may the ingress node send the
// request elsewhere.
package attempts
