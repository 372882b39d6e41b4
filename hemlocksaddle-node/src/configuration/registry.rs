//! Documents by log order and in force.
//!
//! Verdicts on publications depend on log order alone, so they are made against
//! the revisions that this node read from the log. What is in force can be ahead
//! of that, because peers relay documents. The two meet again when the log has
//! been read up to the relayed offset.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    document::{Document, Revision},
    name::ServiceName,
    peer::RelayedDocument,
    record::{Offset, Publish},
};

use crate::invariant::{Invariant, Invariants};

/// Most documents in one relay reply, unless more came in one batch.
///
/// With the longest texts and a batch of restated documents, a reply stays below
/// the 16 MB that a peer connection takes.
const MAX_RELAYED: usize = 32;

/// Document in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Document.
    pub document: Rc<Document>,
    /// Revision.
    pub revision: Revision,
    /// Offset of the batch that brought it.
    pub offset: Offset,
}

/// Verdict on a publication, the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// In force with this revision.
    Accepted(Revision),
    /// Another revision was in force.
    Conflict(Revision),
    /// Text is not a valid document of the service.
    Invalid(Arc<str>),
    /// This node started in a truncated stream and lacks the revision before.
    Unknown,
    /// Certain not to be in the log.
    NotAppended,
}

/// Documents of all services.
#[derive(Default)]
pub(super) struct Registry {
    by_log: BTreeMap<ServiceName, Revision>,
    in_force: BTreeMap<ServiceName, InForce>,
}

/// Parses a document and checks that it describes the service.
pub(super) fn parse(service: &ServiceName, text: &Arc<str>) -> Result<Document, Arc<str>> {
    let document = Document::try_from(text.clone()).map_err(|error| error.to_string())?;
    match document.service == *service {
        true => Ok(document),
        false => Err(Arc::from(format!(
            "[service] name = {}: the document was published as {service}",
            document.service
        ))),
    }
}

impl Registry {
    pub(super) fn get(&self, service: &ServiceName) -> Option<&InForce> {
        self.in_force.get(service)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &InForce> {
        self.in_force.values()
    }

    /// Judges a publication in log order and applies it if it is accepted.
    pub(super) fn publish(
        &mut self,
        publish: &Publish,
        offset: Offset,
        is_truncated: bool,
        invariants: &Invariants,
    ) -> Verdict {
        let known = self.by_log.get(&publish.service).copied();
        if known.is_none() && is_truncated && publish.expected != Revision(0) {
            return Verdict::Unknown;
        }
        let current = known.unwrap_or_default();
        if publish.expected != current {
            return Verdict::Conflict(current);
        }
        let document = match parse(&publish.service, &publish.text) {
            Ok(document) => document,
            Err(text) => return Verdict::Invalid(text),
        };
        let revision = Revision(current.0 + 1);
        self.by_log.insert(publish.service.clone(), revision);
        self.put(document, revision, offset, invariants);
        Verdict::Accepted(revision)
    }

    /// Applies a restated document if it is newer than what log order gave so far.
    pub(super) fn restate(
        &mut self,
        service: &ServiceName,
        revision: Revision,
        text: &Arc<str>,
        offset: Offset,
        invariants: &Invariants,
    ) {
        let known = self.by_log.get(service).copied().unwrap_or_default();
        let Ok(document) = parse(service, text) else {
            return;
        };
        if revision > known {
            self.by_log.insert(service.clone(), revision);
        }
        self.put(document, revision, offset, invariants);
    }

    /// Applies a document that a peer relayed; the log verdicts are left alone.
    pub(super) fn relayed(&mut self, relayed: &RelayedDocument, invariants: &Invariants) -> bool {
        let document = parse(&relayed.service, &relayed.text);
        document
            .is_ok_and(|document| self.put(document, relayed.revision, relayed.offset, invariants))
    }

    /// Puts a document in force unless the one in force is as new; returns whether it did.
    ///
    /// Revisions decide, not offsets: a restated document has a higher offset
    /// than later revisions may have.
    fn put(
        &mut self,
        document: Document,
        revision: Revision,
        offset: Offset,
        invariants: &Invariants,
    ) -> bool {
        let service = document.service.clone();
        if let Some(current) = self.in_force.get(&service) {
            let is_same = current.revision != revision || current.document.text == document.text;
            let holds = invariants.check(Invariant::ConfigurationNeverReverts, is_same, || {
                format!("{service} has two texts of revision {}", revision.0)
            });
            if !holds || revision <= current.revision {
                return false;
            }
        }
        let document = Rc::new(document);
        self.in_force.insert(
            service,
            InForce {
                document,
                revision,
                offset,
            },
        );
        true
    }

    /// Documents from an offset on, oldest first, and the first offset that they do not cover.
    pub(super) fn since(
        &self,
        since: Offset,
        applied_next: Offset,
    ) -> (Vec<RelayedDocument>, Offset) {
        let newer = self.all().filter(|document| document.offset >= since);
        let mut newer: Vec<&InForce> = newer.collect();
        newer.sort_by_key(|document| document.offset);
        let cut = newer.get(MAX_RELAYED).map(|first_left| first_left.offset);
        let covered = match cut {
            // Documents of one batch stay together, or the reader would ask for the same offset for ever.
            Some(cut) => Offset(cut.0 + 1).min(applied_next),
            None => applied_next,
        };
        newer.retain(|document| cut.is_none_or(|cut| document.offset <= cut));
        let relayed = newer.iter().map(|in_force| RelayedDocument {
            service: in_force.document.service.clone(),
            revision: in_force.revision,
            offset: in_force.offset,
            text: in_force.document.text.clone(),
        });
        (relayed.collect(), covered)
    }
}
